/**
 * Reads a stream of the log continuously and retries failed reads.
 * @module
 */
import { computeBackoffMs } from "@briarhill/routing/retries/backoff";
import type { NodeContext } from "../node/node_context.ts";

const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 4_000;
const MIN_JITTERED_SHARE = 0.5;

/** Options of {@link LogFollower}. */
export interface LogFollowerOptions {
  /** Reads once and applies the records that were read. */
  readonly readOnce: (signal: AbortSignal) => Promise<unknown>;
  /** Called with the error of each failed read. */
  readonly onFailure: (error: unknown) => void;
}

/** Reads a stream of the log continuously, with exponential backoff after failed reads. */
export class LogFollower {
  readonly #context: NodeContext;
  readonly #options: LogFollowerOptions;
  #consecutiveFailures = 0;

  constructor(context: NodeContext, options: LogFollowerOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Reads until the signal aborts.
   *
   * @param signal - Stops the reading.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.#options.readOnce(signal);
        this.#consecutiveFailures = 0;
      } catch (error) {
        if (!signal.aborted) {
          this.#options.onFailure(error);
          await this.waitBeforeRetry(signal);
        }
      }
    }
  }

  /**
   * Waits for the backoff delay, which grows until a read succeeds.
   *
   * @param signal - Ends the wait.
   */
  async waitBeforeRetry(signal: AbortSignal): Promise<void> {
    const delayMs = computeBackoffMs(this.#consecutiveFailures, {
      random: this.#context.random,
      baseMs: MIN_RETRY_MS,
      maxMs: MAX_RETRY_MS,
      minShare: MIN_JITTERED_SHARE,
    });
    this.#consecutiveFailures += 1;
    await this.#context.clock.sleep(delayMs, signal);
  }
}
