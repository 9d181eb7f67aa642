/**
 * A policy that picks engines round robin.
 * @module
 */
import type { EngineCandidate } from "./engine_candidate.ts";
import { EnginePicker } from "./engine_picker.ts";

/** Picks the engines in turn, regardless of their load. */
export class RoundRobinPicker extends EnginePicker {
  #next = 0;

  protected override pickFrom(
    pool: readonly EngineCandidate[],
  ): EngineCandidate | undefined {
    return pool[this.#next++ % pool.length];
  }
}
