/**
 * Continuous batching: requests join and leave the batch at each step.
 * @module
 */
import type { WeightVersion } from "@briarhill/common/ids/ids";
import type { Clock, Timer } from "@briarhill/common/time/clock";
import type { FakeEngineSettings } from "./fake_engine_settings.ts";
import type { FakeStream } from "./fake_stream.ts";

/** What the batch needs of its engine. */
export interface FakeBatchHooks {
  /** Returns the version that serves a stream's model. */
  readonly getVersion: (stream: FakeStream) => WeightVersion;
  /** Returns how long the prompt of a stream takes. */
  readonly getPrefillMs: (stream: FakeStream) => number;
  /** Called after each change of the load. */
  readonly onChange: () => void;
}

/** The running and the waiting streams of one engine. */
export class FakeBatch {
  readonly #clock: Clock;
  readonly #settings: FakeEngineSettings;
  readonly #hooks: FakeBatchHooks;
  #running: readonly FakeStream[] = [];
  #queued: readonly FakeStream[] = [];
  #timer: Timer | undefined;

  constructor(
    clock: Clock,
    settings: FakeEngineSettings,
    hooks: FakeBatchHooks,
  ) {
    this.#clock = clock;
    this.#settings = settings;
    this.#hooks = hooks;
  }

  /** Returns how many streams run. */
  countRunning(): number {
    return this.#running.length;
  }

  /** Returns how many streams wait. */
  countQueued(): number {
    return this.#queued.length;
  }

  /** Returns the tokens that the whole batch gets in a second. */
  getTokensPerSecond(): number {
    const tokens = this.#running.length * this.#settings.tokensPerStep;
    return tokens * 1000 / this.#getStepMs();
  }

  /**
   * Adds a stream; it waits behind those of higher or the same priority.
   *
   * @param stream - The stream.
   */
  add(stream: FakeStream): void {
    const { priority } = stream.request;
    const found = this.#queued.findIndex((other) =>
      other.request.priority < priority
    );
    const place = found === -1 ? this.#queued.length : found;
    this.#queued = this.#queued.toSpliced(place, 0, stream);
    this.#admit();
  }

  /** Drops streams that were cancelled from outside. */
  prune(): void {
    this.#running = this.#running.filter(isOpen);
    this.#queued = this.#queued.filter(isOpen);
    this.#admit();
  }

  /** Resets all streams. */
  stop(): void {
    for (const stream of [...this.#running, ...this.#queued]) {
      stream.setState("reset");
    }
    this.prune();
  }

  #admit(): void {
    const free = Math.max(0, this.#settings.slots - this.#running.length);
    const admitted = this.#queued.slice(0, free);
    for (const stream of admitted) {
      const nowMs = this.#clock.getMonotonicMs();
      stream.readyAtMs = nowMs + this.#hooks.getPrefillMs(stream);
      stream.version = this.#hooks.getVersion(stream);
      stream.setState("running");
    }
    this.#queued = this.#queued.slice(admitted.length);
    this.#running = [...this.#running, ...admitted];
    this.#hooks.onChange();
    this.#schedule();
  }

  #schedule(): void {
    if (this.#running.length === 0) {
      this.#timer?.cancel();
      this.#timer = undefined;
      return;
    }
    this.#timer ??= this.#clock.setTimer(this.#getStepMs(), () => {
      this.#timer = undefined;
      this.#advance();
    });
  }

  #advance(): void {
    const nowMs = this.#clock.getMonotonicMs();
    for (const stream of this.#running) {
      if (stream.readyAtMs <= nowMs) {
        stream.generate(
          this.#settings.tokensPerStep,
          this.#pickVersion(stream),
        );
      }
    }
    this.prune();
  }

  #pickVersion(stream: FakeStream): WeightVersion {
    const serving = this.#hooks.getVersion(stream);
    return this.#settings.switchesRunning ? serving : stream.version ?? serving;
  }

  #getStepMs(): number {
    const { stepMs, stepMsPerRequest } = this.#settings;
    return stepMs + stepMsPerRequest * this.#running.length;
  }
}

function isOpen(stream: FakeStream): boolean {
  return stream.state === "queued" || stream.state === "running";
}
