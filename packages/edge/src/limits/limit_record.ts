/**
 * Encodes and decodes the records in which hosts share the limits of endpoints.
 * @module
 */
import { FieldReader } from "@briarhill/platform/records/field_reader";
import { Buffer } from "node:buffer";

/** A limit in the shared log. */
export interface LimitRecord {
  readonly service: string;
  /** The start time of the endpoint's incarnation in milliseconds since 1970. */
  readonly startedAtMs: number;
  readonly ratePerS: number;
}

/**
 * Encodes a limit.
 *
 * @example
 * ```ts
 * const value = encodeLimit({ service: "app", startedAtMs: 0, ratePerS: 2.5 });
 * ```
 * @param record - The limit.
 */
export function encodeLimit(record: LimitRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/**
 * Decodes a limit; throws an `InputError` if it is malformed.
 *
 * @example
 * ```ts
 * const value = Buffer.from('{"service":"app","startedAtMs":0,"ratePerS":2.5}');
 * const { ratePerS } = decodeLimit(value);
 * ```
 * @param value - The value of the record.
 */
export function decodeLimit(value: Buffer): LimitRecord {
  const fields = FieldReader.parse("the shared limit", value);
  return {
    service: fields.getText("service"),
    startedAtMs: fields.getNumber("startedAtMs"),
    ratePerS: fields.getNumber("ratePerS"),
  };
}
