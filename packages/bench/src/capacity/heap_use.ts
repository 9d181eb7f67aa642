/**
 * Measures the memory that a value occupies.
 * @module
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** A value and the memory that it occupies. */
export interface MeasuredValue<T> {
  readonly value: T;
  readonly heapBytes: number;
}

/**
 * Builds a value and returns it with the memory that it occupies.
 *
 * @example
 * ```ts
 * const { heapBytes } = await measureHeap(() => new Array(1000).fill(0));
 * ```
 * @param build - Builds the value.
 */
export async function measureHeap<T>(
  build: () => T | Promise<T>,
): Promise<MeasuredValue<T>> {
  collectGarbage();
  const before = readUsedBytes();
  const value = await build();
  collectGarbage();
  const heapBytes = Math.max(0, readUsedBytes() - before);
  return { value, heapBytes };
}

/** Adds array buffers, as typed arrays store their elements off the heap. */
function readUsedBytes(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
