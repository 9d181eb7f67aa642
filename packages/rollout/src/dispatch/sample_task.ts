/**
 * The work on one sample: what was generated so far, and what failed.
 * @module
 */
import type {
  SampleProgress,
  SampleRequest,
  SampleResult,
} from "../ledger/lot_request.ts";

/** Where the work on a sample stands. */
export type SamplePhase =
  | "waiting"
  | "generating"
  | "unscored"
  | "scoring"
  | "done";

/** The longest text of a sample, in characters; a page of results holds 1 MB. */
const MAX_TEXT_CHARACTERS = 1_000_000;

/** One event of a stream. */
export interface GeneratedEvent {
  readonly id: number;
  readonly data: string;
  /** The version of the weights that made it. */
  readonly version: number;
}

/** What an event means for its sample: all but "taken" end the run. */
export type EventVerdict = "taken" | "gap" | "outdated" | "oversized";

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
  /** Whether its text has all its events. */
  isWhole = false;
  /** The signature of the scoring answer; empty before. */
  score = "";
  #texts: string[] = [];
  readonly #versions = new Set<number>();
  #characters = 0;
  #lastEventId = -1;
  /** How many events the shared log holds. */
  #keptCount = 0;

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
    if (this.#characters + event.data.length > MAX_TEXT_CHARACTERS) {
      return "oversized";
    }
    this.#characters += event.data.length;
    this.#texts.push(event.data);
    this.#versions.add(event.version);
    this.#lastEventId = event.id;
    return "taken";
  }

  /** Drops what was generated, so that it starts anew. */
  clear(): void {
    this.#texts = [];
    this.#characters = 0;
    this.#versions.clear();
    this.#lastEventId = -1;
    this.isWhole = false;
    this.score = "";
    // The log's events no longer belong to this text.
    this.#keptCount = Infinity;
  }

  /**
   * Returns the events that the shared log lacks, or undefined where they are too few.
   *
   * @param minEvents - How many events are enough.
   */
  takeProgress(minEvents: number): SampleProgress | undefined {
    const fromEvent = this.#keptCount;
    if (this.#texts.length < fromEvent + minEvents) {
      return undefined;
    }
    this.#keptCount = this.#texts.length;
    return {
      sample: this.request.id,
      fromEvent,
      texts: this.#texts.slice(fromEvent),
      lastEventId: this.#lastEventId,
      versions: this.versions,
    };
  }

  /**
   * Goes on from what the shared log holds.
   *
   * @param progress - What it holds.
   */
  resume(progress: SampleProgress): void {
    this.#texts = [...progress.texts];
    this.#characters = countCharacters(this.#texts);
    progress.versions.forEach((version) => this.#versions.add(version));
    this.#lastEventId = progress.lastEventId;
    // The log's events are another writer's, which may go on with others.
    this.#keptCount = 0;
  }

  /**
   * Takes over what another lot's work on the same sample has generated, where
   * every version that made it is allowed here. A score counts only for the
   * same scoring request.
   *
   * @param other - The other work, which no longer runs.
   * @param minVersion - The oldest version that may have made an event.
   */
  mergeTask(other: SampleTask, minVersion: number): boolean {
    const isAllowed = other.#texts.length > 0 &&
      other.versions.every((version) => version >= minVersion);
    if (!isAllowed || this.#texts.length > 0) {
      return false;
    }
    this.#texts = [...other.#texts];
    this.#characters = other.#characters;
    other.versions.forEach((version) => this.#versions.add(version));
    this.#lastEventId = other.#lastEventId;
    this.isWhole = other.isWhole;
    const isSameScoring =
      this.request.scoring?.id === other.request.scoring?.id;
    this.score = isSameScoring ? other.score : "";
    this.phase = this.isWhole ? "unscored" : "waiting";
    return true;
  }

  /** Returns the result of a finished sample. */
  toResult(): SampleResult {
    return {
      sample: this.request.id,
      state: "completed",
      text: this.#texts.join("\n"),
      versions: this.versions,
      score: this.score,
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

function countCharacters(texts: readonly string[]): number {
  return texts.reduce((sum, { length }) => sum + length, 0);
}
