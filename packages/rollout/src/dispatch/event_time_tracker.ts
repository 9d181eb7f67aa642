/**
 * Tracks how long engines take to generate an event. Observations expire after
 * a few seconds, so that a past disturbance of an engine has no lasting effect.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

/** Weight of the newest attempt in an engine's moving average. */
const NEWEST_ATTEMPT_WEIGHT = 0.3;
/** Maximum age of an observation, in milliseconds; disturbances last some seconds. */
const MAX_OBSERVATION_AGE_MS = 4_000;
/**
 * Attempts with fewer events reflect their start-up time rather than the
 * engine's speed.
 */
const MIN_EVENTS = 4;

interface EventTimeObservation {
  readonly eventMs: number;
  readonly observedAtMs: number;
}

/** Tracks the mean time per event at each engine, as observed in attempts. */
export class EventTimeTracker {
  readonly #observations = new Map<EndpointId, EventTimeObservation>();

  /**
   * Records an attempt.
   *
   * @param engine - The engine.
   * @param attempt - The number of its events, the time they took, and the time of its end.
   */
  addAttempt(
    engine: EndpointId,
    attempt: {
      readonly events: number;
      readonly tookMs: number;
      readonly nowMs: number;
    },
  ): void {
    if (attempt.events < MIN_EVENTS) {
      return;
    }
    const eventMs = attempt.tookMs / attempt.events;
    const known = this.#getFresh(engine, attempt.nowMs);
    this.#observations.set(engine, {
      eventMs: known === undefined
        ? eventMs
        : known + NEWEST_ATTEMPT_WEIGHT * (eventMs - known),
      observedAtMs: attempt.nowMs,
    });
  }

  /**
   * Returns the time per event in milliseconds: that of the engine if it is
   * known, otherwise the mean of all engines, otherwise undefined.
   *
   * @param engine - The engine.
   * @param nowMs - The current time.
   */
  getEventMs(engine: EndpointId, nowMs: number): number | undefined {
    return this.#getFresh(engine, nowMs) ?? this.#getMean(nowMs);
  }

  /**
   * Returns an engine's time per event divided by the mean of all engines; 1 if
   * either is unknown.
   *
   * @param engine - The engine.
   * @param nowMs - The current time.
   */
  getRelativeEventTime(engine: EndpointId, nowMs: number): number {
    const eventMs = this.#getFresh(engine, nowMs);
    const mean = this.#getMean(nowMs);
    return eventMs === undefined || mean === undefined ? 1 : eventMs / mean;
  }

  #getFresh(engine: EndpointId, nowMs: number): number | undefined {
    const known = this.#observations.get(engine);
    return known !== undefined &&
        nowMs - known.observedAtMs < MAX_OBSERVATION_AGE_MS
      ? known.eventMs
      : undefined;
  }

  #getMean(nowMs: number): number | undefined {
    const fresh = [...this.#observations.keys()]
      .map((engine) => this.#getFresh(engine, nowMs))
      .filter((eventMs) => eventMs !== undefined);
    return fresh.length === 0
      ? undefined
      : fresh.reduce((sum, eventMs) => sum + eventMs, 0) / fresh.length;
  }
}
