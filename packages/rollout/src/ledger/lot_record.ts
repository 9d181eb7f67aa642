/**
 * Encodes the records of lots in the shared log and parses their keys. Every
 * key is written once, so that neither the order of records nor a position ever
 * changes; of two records for the same fact, the first one in the log counts.
 * @module
 */
import type { LotId } from "@briarhill/common/ids/ids";
import type { NewLogRecord } from "@briarhill/common/log/shared_log";
import { InputError } from "@briarhill/common/errors/errors";
import { Buffer } from "node:buffer";
import type { LotProgress, LotRequest, SampleResult } from "./lot_request.ts";

const SEPARATOR = "|";
/** Bytes reserved in each record for the rest of the key and the length of the frame. */
const RECORD_OVERHEAD_BYTES = 512;

/** The parsed key of a record. */
export interface LotRecordKey {
  readonly kind: "lot" | "results" | "progress" | "end";
  readonly lot: LotId;
  /** Differs for each append, so that no key is written twice. */
  readonly nonce: string;
  /** The index of this part of a lot, and the number of parts. */
  readonly part: number;
  readonly parts: number;
}

/**
 * Formats the key of a record.
 *
 * @example
 * ```ts
 * const key = formatLotKey({ kind: "end", lot: "a", nonce: "n", part: 0, parts: 1 });
 * ```
 * @param key - The parts of the key.
 */
export function formatLotKey(key: LotRecordKey): string {
  return [key.lot, key.kind, key.nonce, key.part, key.parts].join(SEPARATOR);
}

/**
 * Parses the key of a record.
 *
 * @example
 * ```ts
 * const { lot } = parseLotKey("a|end|n|0|1");
 * ```
 * @param text - The key.
 */
export function parseLotKey(text: string): LotRecordKey {
  const [lot = "", kind, nonce = "", part, parts] = text.split(SEPARATOR);
  if (!isKind(kind)) {
    throw new InputError(
      `the record key "${text}" has none of the kinds lot, results, progress and end`,
    );
  }
  return { kind, lot, nonce, part: Number(part), parts: Number(parts) };
}

function isKind(text: string | undefined): text is LotRecordKey["kind"] {
  return ["lot", "results", "progress", "end"].includes(text ?? "");
}

/** Options of {@link encodeLot}. */
export interface LotRecordOptions {
  readonly nonce: string;
  /** Maximum size of one record, in bytes. */
  readonly maxRecordBytes: number;
}

/**
 * Encodes an accepted lot; a large one is split into several records, which
 * must be appended together.
 *
 * @example
 * ```ts
 * declare const lot: LotRequest;
 *
 * const records = encodeLot(lot, { nonce: "n", maxRecordBytes: 262_144 });
 * ```
 * @param lot - The lot.
 * @param options - The nonce of the append, and the maximum size of a record.
 */
export function encodeLot(
  lot: LotRequest,
  options: LotRecordOptions,
): readonly NewLogRecord[] {
  const text = Buffer.from(JSON.stringify(lot));
  const size = options.maxRecordBytes - RECORD_OVERHEAD_BYTES;
  const parts = Math.ceil(text.length / size);
  return Array.from({ length: parts }, (_, part) => ({
    key: formatLotKey({
      kind: "lot",
      lot: lot.id,
      nonce: options.nonce,
      part,
      parts,
    }),
    value: text.subarray(part * size, (part + 1) * size),
  }));
}

/**
 * Encodes results that are settled together.
 *
 * @example
 * ```ts
 * const record = encodeResults([], { lot: "a", nonce: "n" });
 * ```
 * @param results - The results, in the order of their positions.
 * @param options - The lot, and a nonce that is unique to this append.
 */
export function encodeResults(
  results: readonly SampleResult[],
  options: { readonly lot: LotId; readonly nonce: string },
): NewLogRecord {
  const { lot, nonce } = options;
  return {
    key: formatLotKey({ kind: "results", lot, nonce, part: 0, parts: 1 }),
    value: Buffer.from(JSON.stringify(results)),
  };
}

/**
 * Encodes the progress of samples that are still being generated.
 *
 * @example
 * ```ts
 * const progress = { writer: "w", samples: [] };
 * const record = encodeProgress(progress, { lot: "a", nonce: "n" });
 * ```
 * @param progress - The events that the samples have gained since their last record.
 * @param options - The lot, and a nonce that is unique to this append.
 */
export function encodeProgress(
  progress: LotProgress,
  options: { readonly lot: LotId; readonly nonce: string },
): NewLogRecord {
  const { lot, nonce } = options;
  return {
    key: formatLotKey({ kind: "progress", lot, nonce, part: 0, parts: 1 }),
    value: Buffer.from(JSON.stringify(progress)),
  };
}

/**
 * Encodes the end of a lot.
 *
 * @example
 * ```ts
 * const record = encodeEnd({ lot: "a", nonce: "n" });
 * ```
 * @param options - The lot, and a nonce that is unique to this append.
 */
export function encodeEnd(
  options: { readonly lot: LotId; readonly nonce: string },
): NewLogRecord {
  const { lot, nonce } = options;
  return {
    key: formatLotKey({ kind: "end", lot, nonce, part: 0, parts: 1 }),
    value: Buffer.from("{}"),
  };
}
