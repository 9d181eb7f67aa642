/**
 * A policy that picks engines uniformly at random.
 * @module
 */
import type { EngineCandidate } from "./engine_candidate.ts";
import { EnginePicker, type PickOptions } from "./engine_picker.ts";

/** Picks each engine with the same probability. */
export class RandomPicker extends EnginePicker {
  protected override pickFrom(
    pool: readonly EngineCandidate[],
    options: PickOptions,
  ): EngineCandidate | undefined {
    return options.context.random.getItem(pool);
  }
}
