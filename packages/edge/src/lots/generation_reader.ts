/**
 * Reads the events of one run of a sample.
 * @module
 */
import { InputError, type PortError } from "@briarhill/common/errors/errors";
import { createPortError } from "@briarhill/common/errors/port_fault";
import type { Clock, Timer } from "@briarhill/common/time/clock";
import {
  EventDecoder,
  type StreamEvent,
} from "@briarhill/platform/engine/event_decoder";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import type { IncomingMessage } from "node:http";
import type { GenerationReport } from "./generation_report.ts";

/** The longest pause between whole events, in milliseconds; above a load of weights on a slow engine. */
export const SILENCE_MS = 2_500;

/** What a reader needs. */
export interface GenerationReaderOptions {
  readonly clock: Clock;
  readonly lot: LotRequest;
  readonly task: SampleTask;
  readonly stream: IncomingMessage;
  readonly signal: AbortSignal;
}

/** Reads the events of one run into its task; what came before a break counts. */
export class GenerationReader {
  readonly #options: GenerationReaderOptions;
  readonly #decoder = new EventDecoder();
  #silence: Timer | undefined;
  #lastEventMs = 0;
  #early: GenerationReport | undefined;

  constructor(options: GenerationReaderOptions) {
    this.#options = options;
  }

  /**
   * Reads events until the stream ends. One that goes silent is a `PortError`.
   *
   * @param headVersion - The version of the weights that the answer's head names.
   */
  readEvents(headVersion: number): Promise<GenerationReport> {
    const { stream } = this.#options;
    let version = headVersion;
    this.#lastEventMs = this.#options.clock.getMonotonicMs();
    this.#scheduleSilence();
    stream.on("data", (bytes: Buffer) => {
      version = this.#addBytes(bytes, version);
    });
    return new Promise((resolve, reject) => {
      stream.on("close", () => {
        this.#silence?.cancel();
        const report = this.#createReport();
        report.reason === "silent"
          ? reject(this.#createSilentError())
          : resolve(report);
      });
    });
  }

  /** Returns the version after the last event. */
  #addBytes(bytes: Buffer, headVersion: number): number {
    const { task, lot, clock } = this.#options;
    let version = headVersion;
    for (const event of this.#decodeEvents(bytes)) {
      version = event.version ?? version;
      if (this.#early !== undefined) {
        break;
      }
      this.#lastEventMs = clock.getMonotonicMs();
      const verdict = task.addEvent({ ...event, version }, lot.minVersion);
      if (verdict !== "taken") {
        const end = verdict === "outdated" ? "outdated" : "broken";
        this.#close({ end, reason: verdict });
      }
    }
    return version;
  }

  #decodeEvents(bytes: Buffer): readonly StreamEvent[] {
    try {
      return this.#decoder.addBytes(bytes);
    } catch (error) {
      if (!(error instanceof InputError)) {
        throw error;
      }
      // The end of the run is logged with this reason.
      this.#close({ end: "broken", reason: "oversized" });
      return [];
    }
  }

  /** Sets one timer for the whole pause and again for what is left of it, not one for each event. */
  #scheduleSilence(): void {
    const { clock } = this.#options;
    const silentMs = clock.getMonotonicMs() - this.#lastEventMs;
    if (silentMs >= SILENCE_MS) {
      this.#close({ end: "broken", reason: "silent" });
      return;
    }
    this.#silence = clock.setTimer(
      SILENCE_MS - silentMs,
      () => this.#scheduleSilence(),
    );
  }

  #close(report: GenerationReport): void {
    this.#early ??= report;
    this.#options.stream.destroy();
  }

  #createReport(): GenerationReport {
    const { stream, signal } = this.#options;
    if (signal.aborted) {
      return { end: "cancelled", reason: "cancelled" };
    }
    if (this.#early !== undefined) {
      return this.#early;
    }
    return stream.complete && !this.#decoder.hasPartialEvent
      ? { end: "finished", reason: "" }
      : { end: "broken", reason: "cut" };
  }

  #createSilentError(): PortError {
    return createPortError("the engine's stream has gone silent", {
      port: "endpoint",
      operation: this.#options.task.request.path,
      fault: "silent",
      outcome: "unknown",
    });
  }
}
