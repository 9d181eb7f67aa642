/**
 * A policy that picks the engine with the lowest reported load.
 * @module
 */
import type { EngineCandidate } from "./engine_candidate.ts";
import { EnginePicker, findLeast } from "./engine_picker.ts";

/** Picks the engine with the lowest reported load per slot, whatever the age of the report. */
export class LeastReportedPicker extends EnginePicker {
  protected override pickFrom(
    pool: readonly EngineCandidate[],
  ): EngineCandidate | undefined {
    return findLeast(
      pool,
      ({ report, slots }) =>
        report === undefined ? 0 : (report.running + report.queued) / slots,
    );
  }
}
