/**
 * The records of lots in the shared log. Every key is written once, so that
 * neither the order of records nor a position ever changes; where two records
 * say the same, the first one in the log counts.
 * @module
 */
import type { LotId } from "@briarhill/common/ids/ids";
import type { NewLogRecord } from "@briarhill/common/log/shared_log";
import { InputError } from "@briarhill/common/errors/errors";
import { Buffer } from "node:buffer";
import type { LotProgress, LotRequest, SampleResult } from "./lot_request.ts";

const SEPARATOR = "|";
/** Leaves room for the rest of the key and the length of the frame. */
const FRAME_BYTES = 512;

/** What the key of a record says. */
export interface LotRecordKey {
  readonly kind: "lot" | "results" | "progress" | "end";
  readonly lot: LotId;
  /** Differs for each append, so that no key is written twice. */
  readonly nonce: string;
  /** The number of this part of a lot, and how many there are. */
  readonly part: number;
  readonly parts: number;
}

/**
 * Returns the key of a record as a text.
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
    throw new InputError(`the key "${text}" names no kind of record`);
  }
  return { kind, lot, nonce, part: Number(part), parts: Number(parts) };
}

function isKind(text: string | undefined): text is LotRecordKey["kind"] {
  return ["lot", "results", "progress", "end"].includes(text ?? "");
}

/** How records are cut and told apart. */
export interface LotRecordOptions {
  readonly nonce: string;
  /** The most bytes of one record. */
  readonly maxRecordBytes: number;
}

/**
 * Returns the records of an accepted lot; a large one takes several, which
 * have to be appended together.
 *
 * @example
 * ```ts
 * declare const lot: LotRequest;
 *
 * const records = encodeLot(lot, { nonce: "n", maxRecordBytes: 262_144 });
 * ```
 * @param lot - The lot.
 * @param options - How records are cut.
 */
export function encodeLot(
  lot: LotRequest,
  options: LotRecordOptions,
): readonly NewLogRecord[] {
  const text = Buffer.from(JSON.stringify(lot));
  const size = options.maxRecordBytes - FRAME_BYTES;
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
 * Returns the record of results that were settled together.
 *
 * @example
 * ```ts
 * const record = encodeResults([], { lot: "a", nonce: "n" });
 * ```
 * @param results - The results, in the order of their positions.
 * @param options - The lot, and what tells this append from others.
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
 * Returns the record of samples that are still generated.
 *
 * @example
 * ```ts
 * const progress = { writer: "w", samples: [] };
 * const record = encodeProgress(progress, { lot: "a", nonce: "n" });
 * ```
 * @param progress - What the samples have gained since their last record.
 * @param options - The lot, and what tells this append from others.
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
 * Returns the record that ends a lot.
 *
 * @example
 * ```ts
 * const record = encodeEnd({ lot: "a", nonce: "n" });
 * ```
 * @param options - The lot, and what tells this append from others.
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
