/**
 * Runs one generation over one or more dials; yields each token exactly once.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { GenerateChunk } from "@briarhill/ports/engine/engine";
import type {
  RequestCommand,
  RequestEvent,
} from "@briarhill/routing/requests/request_command";
import { RequestLifecycle } from "@briarhill/routing/requests/request_lifecycle";
import { StreamProgress } from "@briarhill/routing/requests/stream_progress";
import { computeBackoffMs } from "@briarhill/routing/retries/backoff";
import type { Dial } from "./dial.ts";
import { EngineSelector } from "./engine_selector.ts";
import { type GenerationContext, toEngineClass } from "./generation_context.ts";
import type { GenerationChunk, GenerationRequest } from "./generator.ts";
import { openHedged } from "./hedged_dial.ts";
import {
  buildBrokenEvent,
  buildEngineRequest,
  createGenerationError,
  createIncompleteError,
  createNoEngineError,
  createTimeoutError,
  getReceiveTimeoutMs,
} from "./run_values.ts";
import type { MonitoredRun } from "./run_monitor.ts";
import { SpeedMeter } from "./speed_meter.ts";

const MAX_ATTEMPTS = 4;

/** Runs one generation from admission to its last chunk. */
export class GenerationRun implements MonitoredRun {
  readonly #context: GenerationContext;
  readonly #generation: GenerationRequest;
  readonly #lifecycle: RequestLifecycle;
  readonly #progress: StreamProgress;
  readonly #budget: GenerationContext["budgets"]["live"];
  readonly #speed: SpeedMeter;
  readonly #engineSelector: EngineSelector;
  #dial: Dial | undefined;
  #hasChunk = false;
  /** Monotonic time at which waiting for a chunk started; undefined while the reader, which may be slow, handles one. */
  #waitingSinceMs: number | undefined;
  #nextCommand: RequestCommand | undefined;
  #lastError: unknown;

  constructor(context: GenerationContext, generation: GenerationRequest) {
    this.#context = context;
    this.#generation = generation;
    this.#lifecycle = new RequestLifecycle({
      idempotent: true,
      resume: generation.resume,
      maxAttempts: MAX_ATTEMPTS,
    });
    this.#progress = new StreamProgress(generation.request.fromToken);
    const requestClass = toEngineClass(generation.requestClass);
    this.#budget = context.budgets[requestClass];
    this.#speed = new SpeedMeter(context.pool.speeds[requestClass]);
    this.#engineSelector = new EngineSelector(context.pool, generation);
  }

  /** Returns whether the generation has finished, failed or been cancelled. */
  isEnded(): boolean {
    return this.#lifecycle.isEnded();
  }

  /** Returns the number of tokens received so far. */
  getTokens(): number {
    return this.#progress.next - this.#generation.request.fromToken;
  }

  /** Picks an engine and yields the chunks of the complete response, each token once. */
  async *read(): AsyncIterable<GenerationChunk> {
    const endpoint = this.#engineSelector.pick();
    if (endpoint === undefined) {
      this.#handle({ type: "refused" });
      throw createNoEngineError(this.#generation);
    }
    this.#handle({ type: "admitted", endpoint });
    while (!this.isEnded()) {
      if (this.#nextCommand?.kind === "dial") {
        yield* this.#readDial(this.#nextCommand.endpoint);
      } else if (this.#nextCommand?.kind === "backoff") {
        await this.#waitBackoff(this.#nextCommand.attempt);
      }
    }
    if (this.#nextCommand?.kind === "fail") {
      throw createGenerationError(this.#nextCommand, this.#lastError);
    }
  }

  /**
   * Checks the deadline and the receive timeout, and records the engine's speed.
   *
   * @param nowMs - The monotonic time.
   */
  check(nowMs: number): void {
    if (nowMs >= this.#generation.deadlineMs) {
      this.#handle({ type: "late" });
      return;
    }
    const sinceMs = this.#waitingSinceMs;
    if (sinceMs === undefined) {
      this.#speed.stop();
      return;
    }
    this.recordSpeed(nowMs);
    const timeoutMs = getReceiveTimeoutMs(this.#generation, this.#hasChunk);
    if (nowMs - sinceMs >= timeoutMs) {
      this.#dial?.abort(createTimeoutError(this.#generation, this.getTokens()));
    }
  }

  /** Cancels the generation, also at its engine. */
  cancel(): void {
    this.#handle({ type: "cancelled" });
  }

  /**
   * Records the engine's speed since the last record.
   *
   * @param nowMs - The monotonic time.
   */
  recordSpeed(nowMs: number): void {
    this.#speed.record(this.#progress.next, nowMs);
  }

  async *#readDial(endpoint: EndpointId): AsyncIterable<GenerationChunk> {
    this.#hasChunk = false;
    let dial: Dial | undefined;
    try {
      this.#waitingSinceMs = this.#context.getNowMs();
      const opened = await this.#openDial(endpoint);
      dial = opened.dial;
      let chunk = opened.first;
      while (chunk !== undefined && !this.isEnded()) {
        this.#waitingSinceMs = undefined;
        const added = this.#applyChunk(chunk, dial.endpoint);
        if (added !== undefined) {
          yield added;
        }
        chunk = await this.#readNext(dial);
      }
      if (!this.isEnded()) {
        throw createIncompleteError();
      }
    } catch (error) {
      this.#handleFailure(error);
    } finally {
      this.#dial = undefined;
      this.#waitingSinceMs = undefined;
      this.#speed.stop();
      if (dial !== undefined) {
        const { requestClass } = this.#generation;
        this.#context.pool.recordEnd(dial.endpoint, requestClass);
      }
    }
  }

  /** Delays the read while many streams are open, so that chunks accumulate; then reads. */
  async #readNext(dial: Dial): Promise<GenerateChunk | undefined> {
    this.#waitingSinceMs = this.#context.getNowMs();
    const paceMs = this.#context.getPaceMs(this.#generation.requestClass);
    if (paceMs > 0 && !this.isEnded()) {
      await this.#context.node.clock.sleep(paceMs);
    }
    return this.isEnded() ? undefined : await dial.readNext();
  }

  async #openDial(
    endpoint: EndpointId,
  ): Promise<{ readonly dial: Dial; readonly first?: GenerateChunk }> {
    const { requestClass, request } = this.#generation;
    const opened = await openHedged({
      context: this.#context,
      endpoint,
      requestClass,
      prefixHash: this.#engineSelector.prefixHash,
      request: buildEngineRequest(this.#generation, this.#progress),
      canHedge: requestClass === "live" &&
        this.#progress.next === request.fromToken,
      pickSecond: () => this.#engineSelector.pick(),
      onDial: (dial) => {
        this.#dial = dial;
        if (this.isEnded()) {
          dial.cancel(this.#lastError);
        }
      },
    });
    if (opened.dial.endpoint !== endpoint) {
      this.#handle({ type: "hedged", endpoint: opened.dial.endpoint });
    }
    return opened;
  }

  /** Returns the chunk without tokens received before, or undefined if nothing is new. */
  #applyChunk(
    chunk: GenerateChunk,
    endpoint: EndpointId,
  ): GenerationChunk | undefined {
    const fromToken = this.#progress.next;
    const tokens = this.#progress.apply(chunk);
    if (!this.#hasChunk) {
      this.#hasChunk = true;
      const nowMs = this.#context.getNowMs();
      this.#speed.start(endpoint, { token: this.#progress.next, nowMs });
      this.#handle({ type: "chunk" });
    }
    const isLast = chunk.finishReason !== undefined;
    if (isLast) {
      this.#handle({ type: "finished" });
      this.#context.pool.recordSuccess(endpoint);
    }
    return tokens.length > 0 || isLast
      ? { ...chunk, fromToken, tokens, endpoint }
      : undefined;
  }

  #handleFailure(error: unknown): void {
    this.#lastError = error;
    const offset = this.#progress.next;
    const canRetry = this.#budget.hasRetry();
    this.#handle(buildBrokenEvent(error, { offset, canRetry }));
  }

  async #waitBackoff(attempt: number): Promise<void> {
    this.#budget.acquire();
    const { clock, random } = this.#context.node;
    await clock.sleep(computeBackoffMs(attempt, { random }));
    const endpoint = this.#engineSelector.pick();
    const type = "picked" as const;
    this.#handle(endpoint ? { type, endpoint } : { type: "refused" });
  }

  #handle(event: RequestEvent): void {
    for (const command of this.#lifecycle.handle(event)) {
      if (command.kind === "blame") {
        if (!command.isOverload) {
          this.#context.pool.recordFailure(command.endpoint);
        }
      } else if (command.kind === "cancel") {
        this.#dial?.cancel(this.#lastError);
      } else {
        this.#nextCommand = command;
      }
    }
  }
}
