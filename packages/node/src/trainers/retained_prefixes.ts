/**
 * Retains the output of interrupted generations until another generation resumes
 * after it.
 * @module
 */
import type { SamplePrefix } from "@briarhill/rollout/samples/sample_assembly";
import type { GenerationStructure } from "@briarhill/rollout/scheduling/generation";

type Slot = Pick<GenerationStructure, "lot" | "slot">;

/** Prefixes of samples whose generation was interrupted, by lot and slot. */
export class RetainedPrefixes {
  readonly #byLot = new Map<string, Map<number, SamplePrefix>>();

  /**
   * Retains the prefix of a sample, replacing an earlier one.
   *
   * @param of - The lot's key and the slot.
   * @param prefix - The tokens generated so far.
   */
  setPrefix({ lot, slot }: Slot, prefix: SamplePrefix): void {
    const prefixes = this.#byLot.get(lot) ?? new Map<number, SamplePrefix>();
    prefixes.set(slot, prefix);
    this.#byLot.set(lot, prefixes);
  }

  /**
   * Removes and returns the prefix of a sample, if one is retained.
   *
   * @param of - The lot's key and the slot.
   */
  takePrefix({ lot, slot }: Slot): SamplePrefix | undefined {
    const prefix = this.#byLot.get(lot)?.get(slot);
    this.#byLot.get(lot)?.delete(slot);
    return prefix;
  }

  /**
   * Removes all prefixes of a lot.
   *
   * @param lot - The lot's key.
   */
  removeLot(lot: string): void {
    this.#byLot.delete(lot);
  }
}
