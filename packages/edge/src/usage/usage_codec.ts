/**
 * Encodes and decodes the records of counted requests and of closed windows.
 * @module
 */
import type {
  ClosedWindow,
  UsageCount,
} from "@briarhill/control/usage/usage_ledger";
import { InputError } from "@briarhill/common/errors/errors";
import { FieldReader } from "@briarhill/platform/records/field_reader";
import { Buffer } from "node:buffer";

/**
 * Encodes what a process has counted in a window.
 *
 * @example
 * ```ts
 * const value = encodeCount({ process: "p", window: 7, counts: new Map() });
 * ```
 * @param count - The counts.
 */
export function encodeCount({ process, window, counts }: UsageCount): Buffer {
  return Buffer.from(
    JSON.stringify({ process, window, counts: [...counts] }),
  );
}

/**
 * Decodes what a process has counted in a window; throws an `InputError` if it is
 * malformed.
 *
 * @example
 * ```ts
 * const { window } = decodeCount(Buffer.from('{"process":"p","window":7,"counts":[]}'));
 * ```
 * @param value - The record's value.
 */
export function decodeCount(value: Buffer): UsageCount {
  const fields = FieldReader.parse("the usage of a host", value);
  return {
    process: fields.getText("process"),
    window: fields.getInteger("window"),
    counts: decodeCounts(fields),
  };
}

/**
 * Encodes the result of a window.
 *
 * @example
 * ```ts
 * const value = encodeClosing({ window: 7, counts: new Map(), acknowledged: 6 });
 * ```
 * @param closed - The result of the window.
 */
export function encodeClosing(
  { window, counts, acknowledged }: ClosedWindow,
): Buffer {
  return Buffer.from(
    JSON.stringify({ window, counts: [...counts], acknowledged }),
  );
}

/**
 * Decodes the result of a window; throws an `InputError` if it is malformed.
 *
 * @example
 * ```ts
 * const value = Buffer.from('{"window":7,"counts":[["a",3]],"acknowledged":6}');
 * const { counts } = decodeClosing(value);
 * ```
 * @param value - The record's value.
 */
export function decodeClosing(value: Buffer): ClosedWindow {
  const fields = FieldReader.parse("the closed window", value);
  return {
    window: fields.getInteger("window"),
    counts: decodeCounts(fields),
    acknowledged: fields.getInteger("acknowledged"),
  };
}

function decodeCounts(fields: FieldReader): ReadonlyMap<string, number> {
  return new Map(
    fields.listRows("counts").map(([workspace, count]) => {
      if (typeof workspace !== "string" || !Number.isSafeInteger(count)) {
        throw new InputError(
          `"counts" holds ${
            JSON.stringify([workspace, count])
          }, expected a workspace and an integer`,
          { props: { key: "counts" } },
        );
      }
      return [workspace, count as number] as const;
    }),
  );
}
