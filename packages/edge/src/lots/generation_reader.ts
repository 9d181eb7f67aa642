/**
 * Reads the event stream of one attempt at a sample.
 * @module
 */
import {
  getBreakCause,
  isComplete,
} from "@briarhill/common/http/response_completeness";
import { InputError, type PortError } from "@briarhill/common/errors/errors";
import { createPortError } from "@briarhill/common/errors/port_error";
import type { Clock, Timer } from "@briarhill/common/time/clock";
import {
  EventDecoder,
  type StreamEvent,
} from "@briarhill/platform/engine/event_decoder";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import type { IncomingMessage } from "node:http";
import type { GenerationReport } from "./generation_report.ts";

/** Longest interval between complete events, in milliseconds; longer than a load of weights takes on a slow engine. */
export const EVENT_TIMEOUT_MS = 2_500;

/** The time that an engine has beyond the deadline of an attempt to end it, in milliseconds. */
const OVERDUE_MS = 1_000;
/** The maximum size of one response, in bytes: a text of maximum length and the lines around its events. */
const MAX_STREAM_BYTES = 16_777_216;
const BYTES_PER_CHARACTER = 2;

/** Options of a `GenerationReader`. */
export interface GenerationReaderOptions {
  readonly clock: Clock;
  readonly lot: LotRequest;
  readonly task: SampleTask;
  readonly stream: IncomingMessage;
  /** The time that the engine has for the attempt, in milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** Called with the number of events that have arrived together. */
  readonly onEvents?: (count: number) => void;
  /** Called with the bytes that are kept of the sample, whenever bytes have arrived. */
  readonly onHeldBytes?: (bytes: number) => void;
}

/** Adds the events of one attempt to its task. Events received before the stream breaks are retained. */
export class GenerationReader {
  readonly #options: GenerationReaderOptions;
  readonly #decoder = new EventDecoder();
  #eventTimer: Timer | undefined;
  #lastEventMs = 0;
  #byteCount = 0;
  #earlyReport: GenerationReport | undefined;

  constructor(options: GenerationReaderOptions) {
    this.#options = options;
  }

  /**
   * Reads events until the stream ends. Rejects with a `PortError` if no complete
   * event arrives within the timeout.
   *
   * @param headVersion - The version of the weights named in the response head.
   */
  readEvents(headVersion: number): Promise<GenerationReport> {
    const { stream, clock, deadlineMs } = this.#options;
    let version = headVersion;
    this.#lastEventMs = clock.getMonotonicMs();
    const overdueTimer = clock.setTimer(
      deadlineMs + OVERDUE_MS,
      () => this.#close({ end: "broken", reason: "overdue" }),
    );
    this.#scheduleTimeout();
    stream.on("data", (bytes: Buffer) => {
      version = this.#addBytes(bytes, version);
    });
    return new Promise((resolve, reject) => {
      stream.on("close", () => {
        this.#eventTimer?.cancel();
        overdueTimer.cancel();
        const report = this.#createReport();
        report.reason === "silent"
          ? reject(this.#createTimeoutError())
          : resolve(report);
      });
    });
  }

  /** Returns the version of the weights after the last event. */
  #addBytes(bytes: Buffer, headVersion: number): number {
    const { task, lot, clock, onEvents, onHeldBytes } = this.#options;
    const eventCount = task.eventCount;
    let version = headVersion;
    for (const event of this.#decodeEvents(bytes)) {
      version = event.version ?? version;
      if (this.#earlyReport !== undefined) {
        break;
      }
      this.#lastEventMs = clock.getMonotonicMs();
      const verdict = task.addEvent({ ...event, version }, lot.minVersion);
      if (verdict !== "taken") {
        const end = verdict === "outdated" ? "outdated" : "broken";
        this.#close({ end, reason: verdict });
      }
    }
    onEvents?.(task.eventCount - eventCount);
    const { bufferedCharacters } = this.#decoder;
    onHeldBytes?.(task.heldBytes + BYTES_PER_CHARACTER * bufferedCharacters);
    return version;
  }

  #decodeEvents(bytes: Buffer): readonly StreamEvent[] {
    this.#byteCount += bytes.length;
    try {
      throwIfOversized(this.#byteCount);
      return this.#decoder.addBytes(bytes);
    } catch (error) {
      if (!(error instanceof InputError)) {
        throw error;
      }
      // `RunningSamples` logs the end of the attempt with this reason.
      this.#close({ end: "broken", reason: "oversized" });
      return [];
    }
  }

  /** Sets one timer for the full timeout and resets it to the remaining time when it fires, which avoids a timer per event. */
  #scheduleTimeout(): void {
    const { clock } = this.#options;
    const idleMs = clock.getMonotonicMs() - this.#lastEventMs;
    if (idleMs >= EVENT_TIMEOUT_MS) {
      this.#close({ end: "broken", reason: "silent" });
      return;
    }
    this.#eventTimer = clock.setTimer(
      EVENT_TIMEOUT_MS - idleMs,
      () => this.#scheduleTimeout(),
    );
  }

  #close(report: GenerationReport): void {
    this.#earlyReport ??= report;
    this.#options.stream.destroy();
  }

  #createReport(): GenerationReport {
    const { stream, signal } = this.#options;
    if (signal.aborted) {
      return { end: "cancelled", reason: "cancelled" };
    }
    if (this.#earlyReport !== undefined) {
      return this.#earlyReport;
    }
    return isComplete(stream) && !this.#decoder.hasPartialEvent
      ? { end: "finished", reason: "" }
      : { end: "broken", reason: getBreakCause(stream)?.message ?? "cut" };
  }

  #createTimeoutError(): PortError {
    return createPortError(
      "engine stream timed out waiting for the next complete event",
      {
        port: "endpoint",
        operation: this.#options.task.request.path,
        fault: "silent",
        outcome: "unknown",
      },
    );
  }
}

function throwIfOversized(byteCount: number): void {
  if (byteCount > MAX_STREAM_BYTES) {
    throw new InputError(
      `engine stream exceeds ${MAX_STREAM_BYTES} bytes`,
      { props: { key: "stream" } },
    );
  }
}
