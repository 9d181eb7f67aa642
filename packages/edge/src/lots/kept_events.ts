/**
 * Accounts for what a host keeps of the unfinished samples of one lot. While there
 * is no room for all of it, the largest samples start again.
 * @module
 */
import type {
  ResponseMemory,
  ResponseReading,
} from "@briarhill/common/http/response_memory";
import type { Logger } from "@briarhill/common/logging/logger";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import {
  type GenerationReport,
  hasSpoiledEvents,
} from "./generation_report.ts";

/** Options of {@link KeptEvents}. */
export interface KeptEventsOptions {
  /** The account of the responses of endpoints. */
  readonly endpointResponses: ResponseMemory;
  readonly logger: Logger;
  /** The id of the lot. */
  readonly lot: string;
  /** Aborts the running attempt at a sample, and returns whether there is one. */
  readonly abortAttempt: (sample: string) => boolean;
}

/** Accounts for the events of the unfinished samples of one lot. */
export class KeptEvents {
  readonly #options: KeptEventsOptions;
  readonly #readings = new Map<SampleTask, ResponseReading>();
  /** The tasks whose attempts are being aborted to discard their events. */
  readonly #dropped = new Set<SampleTask>();
  #isClosed = false;

  constructor(options: KeptEventsOptions) {
    this.#options = options;
  }

  /**
   * Sets the bytes that are kept of a sample.
   *
   * @param task - The task of the sample.
   * @param bytes - The number of bytes.
   */
  setBytes(task: SampleTask, bytes: number): void {
    if (this.#isClosed) {
      return;
    }
    const reading = this.#readings.get(task) ?? this.#openReading(task);
    reading.setBytes(bytes);
  }

  /**
   * Ends the account of a sample unless its events will be resumed, and returns how
   * its attempt has ended.
   *
   * @param task - The task of the sample.
   * @param report - How the attempt has ended, as its reader has seen it.
   */
  settleAttempt(task: SampleTask, report: GenerationReport): GenerationReport {
    if (this.#dropped.delete(task)) {
      return { end: "broken", reason: "no-room" };
    }
    const isResumed = task.eventCount > 0 && report.end !== "finished" &&
      !hasSpoiledEvents(report);
    if (isResumed) {
      this.setBytes(task, task.heldBytes);
    } else {
      this.#readings.get(task)?.close();
      this.#readings.delete(task);
    }
    return report;
  }

  /** Ends the account of all samples. */
  close(): void {
    this.#isClosed = true;
    this.#readings.forEach((reading) => reading.close());
    this.#readings.clear();
  }

  #openReading(task: SampleTask): ResponseReading {
    const reading = this.#options.endpointResponses.openReading(
      () => this.#dropEvents(task),
    );
    this.#readings.set(task, reading);
    return reading;
  }

  /** Discards the events of a sample, so that it starts again. */
  #dropEvents(task: SampleTask): void {
    const { logger, lot, abortAttempt } = this.#options;
    const { request, eventCount: events } = task;
    this.#readings.delete(task);
    logger.warn("sample-events-dropped", { lot, sample: request.id, events });
    // The end of a running attempt discards them.
    if (abortAttempt(request.id)) {
      this.#dropped.add(task);
    } else {
      task.clear();
    }
  }
}
