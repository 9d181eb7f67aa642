/**
 * Computes the seed that an engine samples the tokens of a sample with.
 * @module
 */
import type { SampleWork } from "@briarhill/rollout/assignment/sample_work";
import { createHash } from "node:crypto";

const MAX_SEED = 2 ** 31;

/**
 * Computes the seed of a sample. It depends only on the lot and the slot, so that
 * an attempt which resumes another one uses the same seed.
 *
 * @example
 * ```ts
 * const seed = computeSampleSeed(work);
 * ```
 * @param work - The lot and the slot of the sample.
 */
export function computeSampleSeed(
  { lot, slot }: Pick<SampleWork, "lot" | "slot">,
): number {
  const { seed } = lot.sampling;
  if (seed !== undefined) {
    return seed + slot;
  }
  const name = JSON.stringify([lot.customer, lot.id, slot]);
  const digest = createHash("sha256").update(name).digest();
  return digest.readUInt32BE(0) % MAX_SEED;
}
