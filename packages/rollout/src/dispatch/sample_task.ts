/**
 * Tracks what a host knows of one sample over all its attempts: its events so
 * far and its failures. An event is accepted only if it directly follows the
 * previous one, so that a text never has gaps or repeats.
 * @module
 */
import type {
  SampleProgress,
  SampleRequest,
  SampleResult,
} from "../ledger/lot_request.ts";

/** The phase of a sample's task. */
export type SamplePhase =
  | "waiting"
  | "generating"
  | "unscored"
  | "scoring"
  | "done";

/** The maximum length of a sample's text, in characters; a page of results holds 1 MB. */
const MAX_TEXT_CHARACTERS = 1_000_000;
/** The maximum number of events of a sample; an engine holds fewer tokens in its memory. */
const MAX_EVENTS = 131_072;

/** The bytes that an event takes beside its text. */
const EVENT_BYTES = 64;
const BYTES_PER_CHARACTER = 2;

/** One event of an upstream response. */
export interface GeneratedEvent {
  readonly id: number;
  readonly data: string;
  /** The version of the weights that generated the event. */
  readonly version: number;
}

/** The outcome of adding an event to its sample; all but "taken" end the attempt. */
export type EventOutcome = "taken" | "gap" | "outdated" | "oversized";

/** What a host knows of one sample over all its attempts. */
export class SampleTask {
  readonly request: SampleRequest;
  phase: SamplePhase = "waiting";
  /** No attempt or scoring call starts before this time on the monotonic clock. */
  notBeforeMs = 0;
  /**
   * Number of attempts that an engine answered with an error of its own;
   * refused and interrupted attempts don't count.
   */
  failures = 0;
  /** Number of scoring calls that were answered with an error of the scorer itself. */
  scoringFailures = 0;
  /** Whether the text has all its events. */
  isComplete = false;
  /** The signature of the scoring response; empty until then. */
  score = "";
  /** The software version of the engines that generated the events; undefined if there are none. */
  #softwareVersion: string | undefined;
  #texts: string[] = [];
  readonly #versions = new Set<number>();
  #characterCount = 0;
  #lastEventId = -1;
  /** Number of events that the shared log holds. */
  #loggedEventCount = 0;

  constructor(request: SampleRequest) {
    this.request = request;
  }

  /** The id of the last event, or -1 if there is none. */
  get lastEventId(): number {
    return this.#lastEventId;
  }

  /** Number of events generated so far. */
  get eventCount(): number {
    return this.#texts.length;
  }

  /** The most that the events take in memory, in bytes. */
  get heldBytes(): number {
    return BYTES_PER_CHARACTER * this.#characterCount +
      EVENT_BYTES * this.#texts.length;
  }

  /** The software version at which the sample must go on; undefined if any may begin it. */
  get softwareVersion(): string | undefined {
    return this.#texts.length > 0 ? this.#softwareVersion : undefined;
  }

  /**
   * Prepares an attempt at an engine. Discards the events of another software
   * version, as the texts of two don't fit together.
   *
   * @param softwareVersion - The software version of the engine.
   */
  startAttempt(softwareVersion: string): void {
    const begun = this.softwareVersion ?? softwareVersion;
    if (begun !== softwareVersion) {
      this.clear();
    }
    this.#softwareVersion = softwareVersion;
  }

  /** The weight versions that generated the events. */
  get versions(): readonly number[] {
    return [...this.#versions];
  }

  /**
   * Adds an event of an attempt if it directly follows the previous one.
   *
   * @param event - The event.
   * @param minVersion - The oldest weight version that may generate an event.
   */
  addEvent(event: GeneratedEvent, minVersion: number): EventOutcome {
    if (event.version < minVersion) {
      return "outdated";
    }
    if (this.#texts.length > 0 && event.id !== this.#lastEventId + 1) {
      return "gap";
    }
    // Events without data take memory too.
    if (
      this.#texts.length >= MAX_EVENTS ||
      this.#characterCount + event.data.length > MAX_TEXT_CHARACTERS
    ) {
      return "oversized";
    }
    this.#characterCount += event.data.length;
    this.#texts.push(event.data);
    this.#versions.add(event.version);
    this.#lastEventId = event.id;
    return "taken";
  }

  /** Discards the generated events, so that the sample starts from scratch. */
  clear(): void {
    this.#texts = [];
    this.#characterCount = 0;
    this.#versions.clear();
    this.#lastEventId = -1;
    this.isComplete = false;
    this.score = "";
    // The logged events belong to the discarded text and must not be continued.
    this.#loggedEventCount = Infinity;
  }

  /**
   * Returns the events that the shared log lacks, or undefined if there are too
   * few.
   *
   * @param minEvents - The minimum number of events.
   */
  takeProgress(minEvents: number): SampleProgress | undefined {
    const fromEvent = this.#loggedEventCount;
    if (this.#texts.length < fromEvent + minEvents) {
      return undefined;
    }
    this.#loggedEventCount = this.#texts.length;
    return {
      sample: this.request.id,
      fromEvent,
      texts: this.#texts.slice(fromEvent),
      lastEventId: this.#lastEventId,
      versions: this.versions,
      ...(this.#softwareVersion === undefined
        ? {}
        : { softwareVersion: this.#softwareVersion }),
    };
  }

  /**
   * Resumes from the progress in the shared log, unless it does not tell which
   * software version generated it.
   *
   * @param progress - The logged progress.
   */
  resume(progress: SampleProgress): void {
    if (progress.softwareVersion === undefined) {
      return;
    }
    this.#softwareVersion = progress.softwareVersion;
    this.#texts = [...progress.texts];
    this.#characterCount = countCharacters(this.#texts);
    progress.versions.forEach((version) => this.#versions.add(version));
    this.#lastEventId = progress.lastEventId;
    // Another writer logged these events and may continue them differently.
    this.#loggedEventCount = 0;
  }

  /**
   * Copies the events that another lot's task has generated for the same
   * sample, if this task has none and every version that generated them is
   * allowed here. Copies the score only if the scoring request is the same.
   *
   * @param other - The other task, which no longer runs.
   * @param minVersion - The oldest weight version that may have generated an event.
   */
  mergeTask(other: SampleTask, minVersion: number): boolean {
    const isAllowed = other.#texts.length > 0 &&
      other.versions.every((version) => version >= minVersion);
    if (!isAllowed || this.#texts.length > 0) {
      return false;
    }
    this.#texts = [...other.#texts];
    this.#characterCount = other.#characterCount;
    other.versions.forEach((version) => this.#versions.add(version));
    this.#lastEventId = other.#lastEventId;
    this.#softwareVersion = other.#softwareVersion;
    this.isComplete = other.isComplete;
    const isSameScoring =
      this.request.scoring?.id === other.request.scoring?.id;
    this.score = isSameScoring ? other.score : "";
    this.phase = this.isComplete ? "unscored" : "waiting";
    return true;
  }

  /** Returns the result of a completed sample. */
  toResult(): SampleResult {
    return {
      sample: this.request.id,
      state: "completed",
      text: this.#texts.join("\n"),
      versions: this.versions,
      score: this.score,
    };
  }

  /** Returns the result of an abandoned sample. */
  toAbandonedResult(): SampleResult {
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
