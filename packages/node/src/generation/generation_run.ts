/**
 * One generation, from admission to its last chunk.
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
import { EngineChoice } from "./engine_choice.ts";
import { type GenerationParts, toEngineClass } from "./generation_parts.ts";
import type { GenerationChunk, GenerationRequest } from "./generator.ts";
import { openHedged } from "./hedged_dial.ts";
import {
  buildBroken,
  buildEngineRequest,
  createFailure,
  createIncomplete,
  createNoEngine,
  createSilence,
  getSilenceMs,
} from "./run_values.ts";
import type { WatchedRun } from "./run_watch.ts";
import { SpeedMeter } from "./speed_meter.ts";

const MAX_ATTEMPTS = 4;

/** One generation, from admission to its last chunk. */
export class GenerationRun implements WatchedRun {
  readonly #parts: GenerationParts;
  readonly #generation: GenerationRequest;
  readonly #lifecycle: RequestLifecycle;
  readonly #progress: StreamProgress;
  readonly #budget: GenerationParts["budgets"]["live"];
  readonly #speed: SpeedMeter;
  readonly #choice: EngineChoice;
  #dial: Dial | undefined;
  #hasChunk = false;
  /** Since when a chunk is waited for; a reader that is slow itself does not wait. */
  #waitingSinceMs: number | undefined;
  #next: RequestCommand | undefined;
  #lastError: unknown;

  constructor(parts: GenerationParts, generation: GenerationRequest) {
    this.#parts = parts;
    this.#generation = generation;
    this.#lifecycle = new RequestLifecycle({
      idempotent: true,
      resume: generation.resume,
      maxAttempts: MAX_ATTEMPTS,
    });
    this.#progress = new StreamProgress(generation.request.fromToken);
    const requestClass = toEngineClass(generation.requestClass);
    this.#budget = parts.budgets[requestClass];
    this.#speed = new SpeedMeter(parts.pool.speeds[requestClass]);
    this.#choice = new EngineChoice(parts.pool, generation);
  }

  /** Tells whether the request has its final answer. */
  isEnded(): boolean {
    return this.#lifecycle.isEnded();
  }

  /** Returns the tokens of this generation so far. */
  getTokens(): number {
    return this.#progress.next - this.#generation.request.fromToken;
  }

  /** Picks an engine and yields the chunks of the whole answer, each token once. */
  async *read(): AsyncIterable<GenerationChunk> {
    const endpoint = this.#choice.pick();
    if (endpoint === undefined) {
      this.#handle({ type: "refused" });
      throw createNoEngine(this.#generation);
    }
    this.#handle({ type: "admitted", endpoint });
    while (!this.isEnded()) {
      if (this.#next?.kind === "dial") {
        yield* this.#readDial(this.#next.endpoint);
      } else if (this.#next?.kind === "backoff") {
        await this.#waitBackoff(this.#next.attempt);
      }
    }
    if (this.#next?.kind === "fail") {
      throw createFailure(this.#next, this.#lastError);
    }
  }

  /**
   * Looks for silence and the deadline, and measures the engine's speed.
   *
   * @param nowMs - The time.
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
    const silenceMs = getSilenceMs(this.#generation, this.#hasChunk);
    if (nowMs - sinceMs >= silenceMs) {
      this.#dial?.abort(createSilence(this.#generation, this.getTokens()));
    }
  }

  /** Gives the generation up, at its engine too. */
  cancel(): void {
    this.#handle({ type: "cancelled" });
  }

  /**
   * Records how fast the engine was since the last look.
   *
   * @param nowMs - The time.
   */
  recordSpeed(nowMs: number): void {
    this.#speed.record(this.#progress.next, nowMs);
  }

  async *#readDial(endpoint: EndpointId): AsyncIterable<GenerationChunk> {
    this.#hasChunk = false;
    let dial: Dial | undefined;
    try {
      this.#waitingSinceMs = this.#parts.getNowMs();
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
        throw createIncomplete();
      }
    } catch (error) {
      this.#handleBroken(error);
    } finally {
      this.#dial = undefined;
      this.#waitingSinceMs = undefined;
      this.#speed.stop();
      if (dial !== undefined) {
        const { requestClass } = this.#generation;
        this.#parts.pool.recordEnd(dial.endpoint, requestClass);
      }
    }
  }

  /** Lets chunks gather while many streams are open, then reads on. */
  async #readNext(dial: Dial): Promise<GenerateChunk | undefined> {
    this.#waitingSinceMs = this.#parts.getNowMs();
    const paceMs = this.#parts.getPaceMs(this.#generation.requestClass);
    if (paceMs > 0 && !this.isEnded()) {
      await this.#parts.context.clock.sleep(paceMs);
    }
    return this.isEnded() ? undefined : await dial.readNext();
  }

  async #openDial(
    endpoint: EndpointId,
  ): Promise<{ readonly dial: Dial; readonly first?: GenerateChunk }> {
    const { requestClass, request } = this.#generation;
    const opened = await openHedged({
      parts: this.#parts,
      endpoint,
      requestClass,
      prefixHash: this.#choice.prefixHash,
      request: buildEngineRequest(this.#generation, this.#progress),
      canHedge: requestClass === "live" &&
        this.#progress.next === request.fromToken,
      pickSecond: () => this.#choice.pick(),
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

  /** Returns what is new in a chunk, or undefined when nothing is. */
  #applyChunk(
    chunk: GenerateChunk,
    endpoint: EndpointId,
  ): GenerationChunk | undefined {
    const fromToken = this.#progress.next;
    const tokens = this.#progress.apply(chunk);
    if (!this.#hasChunk) {
      this.#hasChunk = true;
      const nowMs = this.#parts.getNowMs();
      this.#speed.start(endpoint, { token: this.#progress.next, nowMs });
      this.#handle({ type: "chunk" });
    }
    const isLast = chunk.finishReason !== undefined;
    if (isLast) {
      this.#handle({ type: "finished" });
      this.#parts.pool.recordSuccess(endpoint);
    }
    return tokens.length > 0 || isLast
      ? { ...chunk, fromToken, tokens, endpoint }
      : undefined;
  }

  #handleBroken(error: unknown): void {
    this.#lastError = error;
    const offset = this.#progress.next;
    const canRetry = this.#budget.hasRetry();
    this.#handle(buildBroken(error, { offset, canRetry }));
  }

  async #waitBackoff(attempt: number): Promise<void> {
    this.#budget.acquire();
    const { clock, random } = this.#parts.context;
    await clock.sleep(computeBackoffMs(attempt, { random }));
    const endpoint = this.#choice.pick();
    const type = "picked" as const;
    this.#handle(endpoint ? { type, endpoint } : { type: "refused" });
  }

  #handle(event: RequestEvent): void {
    for (const command of this.#lifecycle.handle(event)) {
      if (command.kind === "blame") {
        if (!command.isOverload) {
          this.#parts.pool.recordFailure(command.endpoint);
        }
      } else if (command.kind === "cancel") {
        this.#dial?.cancel(this.#lastError);
      } else {
        this.#next = command;
      }
    }
  }
}
