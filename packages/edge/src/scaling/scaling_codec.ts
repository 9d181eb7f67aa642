/**
 * Encodes and decodes the records of demand for servers and of ordered numbers.
 * @module
 */
import type { ServerKind } from "@briarhill/control/scaling/server_order_book";
import { FieldReader } from "@briarhill/platform/records/field_reader";
import { Buffer } from "node:buffer";

/** The unfinished samples that a host runs, by model. */
export interface HostDemand {
  readonly host: string;
  readonly samples: ReadonlyMap<string, number>;
}

/** A number of servers that the platform has accepted. */
export interface OrderedCount extends ServerKind {
  readonly count: number;
}

/** A record of the scaling topic. */
export type ScalingRecord =
  | { readonly kind: "demand"; readonly demand: HostDemand }
  | { readonly kind: "order"; readonly ordered: OrderedCount };

/**
 * Encodes the demand of a host.
 *
 * @example
 * ```ts
 * const value = encodeDemand({ host: "10.0.0.1", samples: new Map([["m0", 8]]) });
 * ```
 * @param demand - The demand.
 */
export function encodeDemand({ host, samples }: HostDemand): Buffer {
  return encode({
    kind: "demand",
    host,
    samples: [...samples].map(([model, count]) => ({ model, count })),
  });
}

/**
 * Encodes a number of servers that the platform has accepted.
 *
 * @example
 * ```ts
 * const value = encodeOrdered({
 *   service: "engines",
 *   failureDomain: "a",
 *   isReclaimable: true,
 *   count: 4,
 * });
 * ```
 * @param ordered - The number.
 */
export function encodeOrdered(ordered: OrderedCount): Buffer {
  return encode({ kind: "order", ...ordered });
}

/**
 * Decodes a record of the scaling topic; throws an `InputError` if it is malformed.
 *
 * @example
 * ```ts
 * const value = Buffer.from('{"kind":"demand","host":"10.0.0.1","samples":[]}');
 * const { kind } = decodeScalingRecord(value);
 * ```
 * @param value - The record's value.
 */
export function decodeScalingRecord(value: Buffer): ScalingRecord {
  const fields = FieldReader.parse("the scaling record", value);
  if (fields.getText("kind") === "demand") {
    const samples = fields.listObjects("samples").map((each) =>
      [each.getText("model"), each.getInteger("count")] as const
    );
    const host = fields.getText("host");
    return { kind: "demand", demand: { host, samples: new Map(samples) } };
  }
  return {
    kind: "order",
    ordered: {
      service: fields.getText("service"),
      failureDomain: fields.getText("failureDomain"),
      isReclaimable: fields.isTrue("isReclaimable"),
      count: fields.getInteger("count"),
    },
  };
}

function encode(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}
