/**
 * Responses of the store stand-in.
 * @module
 */
import { Buffer } from "node:buffer";
import type { StorePartition } from "./store_partition.ts";

/** A response of the store. */
export interface StoreResponse {
  readonly status: number;
  readonly body: Buffer;
}

/**
 * Returns a response with a JSON body.
 *
 * @example
 * ```ts
 * const response = createJsonResponse({ offset: 3 });
 * ```
 * @param value - The value of the body.
 * @param status - The HTTP status.
 */
export function createJsonResponse(
  value: unknown,
  status = 200,
): StoreResponse {
  return { status, body: Buffer.from(JSON.stringify(value)) };
}

/** The maximum size of the records of one call, in bytes. */
const MAX_CALL_BYTES = 2_097_152;

/**
 * Appends the records of a call. If the call names an expected end offset and the
 * partition has another one, appends nothing and responds with 412.
 *
 * @example
 * ```ts
 * declare const partition: StorePartition;
 *
 * const response = appendRecords(partition, {
 *   query: new URLSearchParams(),
 *   body: Buffer.alloc(0),
 * });
 * ```
 * @param partition - The partition to append to.
 * @param call - The query and body of the call.
 */
export function appendRecords(
  partition: StorePartition,
  { query, body }: { readonly query: URLSearchParams; readonly body: Buffer },
): StoreResponse {
  if (body.length > MAX_CALL_BYTES) {
    return createJsonResponse({}, 413);
  }
  const at = query.get("at");
  if (at !== null && Number(at) !== partition.endOffset) {
    return createJsonResponse({ endOffset: partition.endOffset }, 412);
  }
  const offset = partition.append(body);
  return createJsonResponse({ offset, endOffset: partition.endOffset });
}

/**
 * Reads a partition from an offset on; at its end, waits up to `waitMs` for an
 * append. Responds with 410 if records at the offset have been deleted.
 *
 * @example
 * ```ts
 * declare const partition: StorePartition;
 *
 * const response = await readRecords(partition, new URLSearchParams("from=0"));
 * ```
 * @param partition - The partition to read.
 * @param query - The query of the call.
 */
export async function readRecords(
  partition: StorePartition,
  query: URLSearchParams,
): Promise<StoreResponse> {
  const from = Number(query.get("from"));
  if (from < partition.firstOffset) {
    return createJsonResponse({ first: partition.firstOffset }, 410);
  }
  if (from >= partition.endOffset) {
    const timedOut = new Promise((resolve) =>
      setTimeout(resolve, Number(query.get("waitMs"))).unref()
    );
    await Promise.race([partition.waitAppend(), timedOut]);
  }
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(partition.endOffset), 0);
  head.writeBigUInt64BE(BigInt(partition.firstOffset), 8);
  return { status: 200, body: Buffer.concat([head, partition.readFrom(from)]) };
}

/**
 * Returns a response with the newest record of each key of a partition.
 *
 * @example
 * ```ts
 * declare const partition: StorePartition;
 *
 * const response = createNewestResponse(partition);
 * ```
 * @param partition - The partition to read.
 */
export function createNewestResponse(partition: StorePartition): StoreResponse {
  const items = partition.listNewest().map(({ key, value, offset }) => ({
    key,
    value: value.toString("base64"),
    offset,
  }));
  return createJsonResponse({
    items,
    hasMore: false,
    endOffset: partition.endOffset,
  });
}
