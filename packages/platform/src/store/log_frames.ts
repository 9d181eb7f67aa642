/**
 * Encodes and decodes the binary frames of log records. A frame is a length of
 * four bytes and the content; in keyed topics the content starts with the length
 * of the key (one byte) and the key.
 * @module
 */
import type { LogRecord, NewLogRecord } from "@briarhill/common/log/shared_log";
import { InputError } from "@briarhill/common/errors/errors";
import { Buffer } from "node:buffer";

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const MAX_KEY_BYTES = 255;

/**
 * Returns the request body of an append.
 *
 * @example
 * ```ts
 * const body = encodeRecords([{ value: Buffer.from("a") }], false);
 * ```
 * @param records - The records to append, in order.
 * @param isKeyed - Whether the topic retains the newest record of each key.
 */
export function encodeRecords(
  records: readonly NewLogRecord[],
  isKeyed: boolean,
): Buffer {
  const chunks: Buffer[] = [];
  for (const { key = "", value } of records) {
    const keyBytes = isKeyed ? encodeKey(key) : Buffer.alloc(0);
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(keyBytes.length + value.length);
    chunks.push(length, keyBytes, value);
  }
  return Buffer.concat(chunks);
}

function encodeKey(key: string): Buffer {
  const bytes = Buffer.from(key);
  if (bytes.length === 0 || bytes.length > MAX_KEY_BYTES) {
    throw new InputError(
      `key "${key}" has ${bytes.length} bytes, expected 1 to ${MAX_KEY_BYTES}`,
    );
  }
  return Buffer.concat([Buffer.from([bytes.length]), bytes]);
}

/** The decoded response of a read. */
export interface DecodedRead {
  readonly endOffset: number;
  readonly records: readonly LogRecord[];
}

/**
 * Decodes the response body of a read. Skips a record in a keyed topic whose key
 * is malformed; its offset still counts.
 *
 * @example
 * ```ts
 * const { records } = decodeRead(Buffer.alloc(16), { fromOffset: 0, isKeyed: true });
 * ```
 * @param body - The response body.
 * @param options - The offset that was requested, and whether the topic is keyed.
 */
export function decodeRead(
  body: Buffer,
  options: { readonly fromOffset: number; readonly isKeyed: boolean },
): DecodedRead & { readonly nextOffset: number } {
  if (body.length < 2 * OFFSET_BYTES) {
    throw new InputError(
      `read response has ${body.length} bytes, expected at least 16`,
    );
  }
  const endOffset = Number(body.readBigUInt64BE(0));
  const firstOffset = Number(body.readBigUInt64BE(OFFSET_BYTES));
  const records: LogRecord[] = [];
  let offset = Math.max(options.fromOffset, firstOffset);
  let position = 2 * OFFSET_BYTES;
  while (position + LENGTH_BYTES <= body.length) {
    const end = position + LENGTH_BYTES + body.readUInt32BE(position);
    if (end > body.length) {
      throw new InputError("record extends past the end of the read response");
    }
    const record = decodeRecord(body.subarray(position + LENGTH_BYTES, end), {
      offset,
      isKeyed: options.isKeyed,
    });
    if (record !== undefined) {
      records.push(record);
    }
    offset++;
    position = end;
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
