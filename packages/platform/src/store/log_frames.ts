/**
 * The binary form of log records: a length of four bytes, then the content; in
 * keyed topics the content begins with the key.
 * @module
 */
import type { LogRecord, NewLogRecord } from "@briarhill/common/log/shared_log";
import { InputError } from "@briarhill/common/errors/errors";
import { Buffer } from "node:buffer";

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const MAX_KEY_BYTES = 255;

/**
 * Returns the body of an append.
 *
 * @example
 * ```ts
 * const body = encodeRecords([{ value: Buffer.from("a") }], false);
 * ```
 * @param records - The records.
 * @param isKeyed - Whether the topic keeps the newest record of each key.
 */
export function encodeRecords(
  records: readonly NewLogRecord[],
  isKeyed: boolean,
): Buffer {
  const parts: Buffer[] = [];
  for (const { key = "", value } of records) {
    const keyBytes = isKeyed ? encodeKey(key) : Buffer.alloc(0);
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(keyBytes.length + value.length);
    parts.push(length, keyBytes, value);
  }
  return Buffer.concat(parts);
}

function encodeKey(key: string): Buffer {
  const bytes = Buffer.from(key);
  if (bytes.length === 0 || bytes.length > MAX_KEY_BYTES) {
    throw new InputError(
      `the key "${key}" has ${bytes.length} bytes, expected 1 to ${MAX_KEY_BYTES}`,
    );
  }
  return Buffer.concat([Buffer.from([bytes.length]), bytes]);
}

/** The content of a read. */
export interface DecodedRead {
  readonly endOffset: number;
  readonly records: readonly LogRecord[];
}

/**
 * Decodes the body of a read. A keyed record whose key can't be read is left
 * out; its offset is passed over.
 *
 * @example
 * ```ts
 * const { records } = decodeRead(Buffer.alloc(16), { fromOffset: 0, isKeyed: true });
 * ```
 * @param body - The body.
 * @param options - The offset of the first record, and the form of the topic.
 */
export function decodeRead(
  body: Buffer,
  options: { readonly fromOffset: number; readonly isKeyed: boolean },
): DecodedRead & { readonly nextOffset: number } {
  if (body.length < 2 * OFFSET_BYTES) {
    throw new InputError(`a read of ${body.length} bytes, expected 16 or more`);
  }
  const endOffset = Number(body.readBigUInt64BE(0));
  const firstOffset = Number(body.readBigUInt64BE(OFFSET_BYTES));
  const records: LogRecord[] = [];
  let offset = Math.max(options.fromOffset, firstOffset);
  let at = 2 * OFFSET_BYTES;
  while (at + LENGTH_BYTES <= body.length) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at);
    if (end > body.length) {
      throw new InputError("a record reaches beyond the end of the read");
    }
    const record = decodeRecord(body.subarray(at + LENGTH_BYTES, end), {
      offset,
      isKeyed: options.isKeyed,
    });
    if (record !== undefined) {
      records.push(record);
    }
    offset++;
    at = end;
  }
  return { endOffset, records, nextOffset: offset };
}

function decodeRecord(
  content: Buffer,
  options: { readonly offset: number; readonly isKeyed: boolean },
): LogRecord | undefined {
  const { offset } = options;
  if (!options.isKeyed) {
    return { offset, key: "", value: content };
  }
  const keyEnd = 1 + (content[0] ?? 0);
  if (keyEnd === 1 || keyEnd > content.length) {
    return undefined;
  }
  return {
    offset,
    key: content.toString("utf8", 1, keyEnd),
    value: content.subarray(keyEnd),
  };
}
