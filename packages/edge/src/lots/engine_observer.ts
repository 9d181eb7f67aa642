/**
 * Records what the attempts of this host's samples show of their engines.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { AttemptPace } from "@briarhill/rollout/dispatch/attempt_pace";
import { EventTimeTracker } from "@briarhill/rollout/dispatch/event_time_tracker";
import { LengthEstimator } from "@briarhill/rollout/dispatch/length_estimator";
import type { RunningAttempt } from "@briarhill/rollout/dispatch/straggler_policy";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";

/** Number of events that the pace of a running attempt stands for: that of the intervals which make it known. */
const OBSERVED_EVENTS = 4;

/** Options of an `EngineObserver`. */
export interface EngineObserverOptions {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
}

/** What this host has observed of the engines. */
export class EngineObserver {
  /** The time per event of each engine. */
  readonly eventTimes = new EventTimeTracker();
  /** The lengths of samples. */
  readonly lengths = new LengthEstimator();
  readonly #options: EngineObserverOptions;

  constructor(options: EngineObserverOptions) {
    this.#options = options;
  }

  /**
   * Records the speed of an attempt.
   *
   * @param engine - The engine's id.
   * @param attempt - Its number of events and the pace at which they arrived.
   */
  addAttempt(
    engine: string,
    attempt: {
      readonly events: number;
      readonly pace: AttemptPace;
      readonly nowMs: number;
    },
  ): void {
    const { events, pace, nowMs } = attempt;
    const eventMs = pace.getEventMs();
    if (eventMs !== undefined) {
      const tookMs = events * eventMs;
      this.eventTimes.addAttempt(engine, { events, tookMs, nowMs });
    }
    this.#updateLatency(engine, nowMs);
  }

  /**
   * Records the pace of the attempts that run, of one for each engine. At the start
   * of a step none has ended, and engines that turn slow then would stay unknown.
   *
   * @param running - The running attempts.
   * @param nowMs - The current time on the monotonic clock.
   */
  addRunning(
    running: readonly Pick<RunningAttempt, "engine" | "eventMs">[],
    nowMs: number,
  ): void {
    const paces = new Map<string, number>();
    for (const { engine, eventMs } of running) {
      if (eventMs !== undefined) {
        paces.set(engine, eventMs);
      }
    }
    for (const [engine, eventMs] of paces) {
      const events = OBSERVED_EVENTS;
      const tookMs = events * eventMs;
      this.eventTimes.addAttempt(engine, { events, tookMs, nowMs });
      this.#updateLatency(engine, nowMs);
    }
  }

  #updateLatency(engine: string, nowMs: number): void {
    this.#options.directory.endpointPicker.getLoad(engine).setLatencyRatio(
      this.eventTimes.getRelativeEventTime(engine, nowMs),
    );
  }

  /**
   * Counts an attempt at its engine while something precedes its request;
   * otherwise every waiting sample is sent to the engine that looks idle.
   *
   * @param engine - The engine's id.
   * @param run - What precedes the request.
   */
  async runCounted<T>(engine: string, run: () => Promise<T>): Promise<T> {
    const { directory, clock } = this.#options;
    const load = directory.endpointPicker.getLoad(engine);
    load.addRequest();
    try {
      return await run();
    } finally {
      load.removeUnanswered();
      load.removeRequest("cancelled", clock.getMonotonicMs());
    }
  }
}
