/**
 * Faults in the middle of a stream.
 * @module
 */
import type { GenerateChunk } from "@briarhill/ports/engine/engine";
import { type Fault, isDisorder } from "../faults/fault.ts";
import type { FaultPlan } from "../faults/fault_plan.ts";

/** A fault in the middle of a stream. */
export interface StreamFault {
  /** The fault, with the number of chunks that come before it. */
  readonly fault: Fault;
  /** The plan that names the error. */
  readonly plan: FaultPlan;
}

/**
 * Yields the chunks of a stream with one fault among them.
 *
 * @example
 * ```ts
 * const faulty = addStreamFault(chunks, { fault, plan });
 * ```
 * @param chunks - The whole stream.
 * @param streamFault - The fault, and the plan that names its error.
 */
export async function* addStreamFault(
  chunks: AsyncIterable<GenerateChunk>,
  { fault, plan }: StreamFault,
): AsyncIterable<GenerateChunk> {
  const at = fault.afterChunks ?? 0;
  let count = 0;
  let held: GenerateChunk | undefined;
  for await (const chunk of chunks) {
    if (count === at && !isDisorder(fault)) {
      if (fault.kind === "incomplete") {
        return;
      }
      throw plan.createError(fault, count > 0);
    }
    if (count === at && fault.kind === "reordered") {
      held = chunk;
    } else {
      yield chunk;
      yield* count === at ? [chunk] : [];
      yield* held === undefined ? [] : [held];
      held = undefined;
    }
    count++;
  }
}
