/**
 * The work on one sample: what was generated so far, and what failed.
 * @module
 */
import type { SampleRequest, SampleResult } from "../ledger/lot_request.ts";

/** Where the work on a sample stands. */
export type SamplePhase =
  | "waiting"
  | "generating"
  | "unscored"
  | "scoring"
  | "done";

/** One event of a stream. */
export interface GeneratedEvent {
  readonly id: number;
  readonly data: string;
  /** The version of the weights that made it. */
  readonly version: number;
}

/** What an event means for its sample: "gap" and "outdated" end the run. */
export type EventVerdict = "taken" | "gap" | "outdated";

/** The work on one sample. */
export class SampleTask {
  readonly request: SampleRequest;
  phase: SamplePhase = "waiting";
  /** No run or scoring begins before, on the monotonic clock. */
  notBeforeMs = 0;
  /** How many runs failed of themselves. */
  failures = 0;
  /** How many scoring calls failed of themselves. */
  scoringFailures = 0;
  readonly #texts: string[] = [];
  readonly #versions = new Set<number>();
  #lastEventId = -1;

  constructor(request: SampleRequest) {
    this.request = request;
  }

  /** The id of the last event, or -1. */
  get lastEventId(): number {
    return this.#lastEventId;
  }

  /** How many events it has. */
  get eventCount(): number {
    return this.#texts.length;
  }

  /** The versions that made its events. */
  get versions(): readonly number[] {
    return [...this.#versions];
  }

  /**
   * Takes the next event of a run.
   *
   * @param event - The event.
   * @param minVersion - The oldest version that may make one.
   */
  addEvent(event: GeneratedEvent, minVersion: number): EventVerdict {
    if (event.version < minVersion) {
      return "outdated";
    }
    if (this.#texts.length > 0 && event.id !== this.#lastEventId + 1) {
      return "gap";
    }
    this.#texts.push(event.data);
    this.#versions.add(event.version);
    this.#lastEventId = event.id;
    return "taken";
  }

  /** Drops what was generated, so that it starts anew. */
  clear(): void {
    this.#texts.length = 0;
    this.#versions.clear();
    this.#lastEventId = -1;
  }

  /**
   * Returns the result of a finished sample.
   *
   * @param score - The signature of the scoring answer, or an empty text.
   */
  toResult(score: string): SampleResult {
    return {
      sample: this.request.id,
      state: "completed",
      text: this.#texts.join("\n"),
      versions: this.versions,
      score,
    };
  }

  /** Returns the result of a sample that is given up. */
  toAbandoned(): SampleResult {
    return {
      sample: this.request.id,
      state: "abandoned",
      text: "",
      versions: [],
      score: "",
    };
  }
}
