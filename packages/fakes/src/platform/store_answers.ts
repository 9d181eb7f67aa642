/**
 * Answers of the stand-in of the store.
 * @module
 */
import { Buffer } from "node:buffer";
import type { StorePartition } from "./store_partition.ts";

/** An answer of the store. */
export interface StoreAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/**
 * Returns an answer with a JSON body.
 *
 * @example
 * ```ts
 * const answer = createJson({ offset: 3 });
 * ```
 * @param value - The body.
 * @param status - The status.
 */
export function createJson(value: unknown, status = 200): StoreAnswer {
  return { status, body: Buffer.from(JSON.stringify(value)) };
}

/**
 * Appends the records of a call; a condition that doesn't hold is told.
 *
 * @example
 * ```ts
 * declare const partition: StorePartition;
 *
 * const answer = appendTo(partition, {
 *   query: new URLSearchParams(),
 *   body: Buffer.alloc(0),
 * });
 * ```
 * @param partition - The partition.
 * @param call - Its query and body.
 */
export function appendTo(
  partition: StorePartition,
  { query, body }: { readonly query: URLSearchParams; readonly body: Buffer },
): StoreAnswer {
  const at = query.get("at");
  if (at !== null && Number(at) !== partition.endOffset) {
    return createJson({ endOffset: partition.endOffset }, 412);
  }
  const offset = partition.append(body);
  return createJson({ offset, endOffset: partition.endOffset });
}

/**
 * Reads a partition, and waits for a record where there is none.
 *
 * @example
 * ```ts
 * declare const partition: StorePartition;
 *
 * const answer = await readFrom(partition, new URLSearchParams("from=0"));
 * ```
 * @param partition - The partition.
 * @param query - The query of the call.
 */
export async function readFrom(
  partition: StorePartition,
  query: URLSearchParams,
): Promise<StoreAnswer> {
  const from = Number(query.get("from"));
  if (from < partition.firstOffset) {
    return createJson({ first: partition.firstOffset }, 410);
  }
  if (from >= partition.endOffset) {
    const waited = new Promise((resolve) =>
      setTimeout(resolve, Number(query.get("waitMs"))).unref()
    );
    await Promise.race([partition.waitAppend(), waited]);
  }
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(partition.endOffset), 0);
  head.writeBigUInt64BE(BigInt(partition.firstOffset), 8);
  return { status: 200, body: Buffer.concat([head, partition.readFrom(from)]) };
}

/**
 * Returns the newest record of each key of a partition.
 *
 * @example
 * ```ts
 * declare const partition: StorePartition;
 *
 * const answer = createNewest(partition);
 * ```
 * @param partition - The partition.
 */
export function createNewest(partition: StorePartition): StoreAnswer {
  const items = partition.listNewest().map(({ key, value, offset }) => ({
    key,
    value: value.toString("base64"),
    offset,
  }));
  return createJson({ items, hasMore: false, endOffset: partition.endOffset });
}
