/**
 * How long an event takes at each engine.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

/** Weight of the newest run in an engine's pace. */
const SAMPLE_WEIGHT = 0.3;
/** How long a pace says something, in milliseconds; disturbances last some seconds. */
const PACE_LIFE_MS = 4_000;
/** Runs with fewer events say more of their start than of the engine. */
const MIN_EVENTS = 4;

interface KnownPace {
  readonly eventMs: number;
  readonly atMs: number;
}

/** How long an event takes at each engine, as runs have shown. */
export class EnginePace {
  readonly #paces = new Map<EndpointId, KnownPace>();

  /**
   * Records a run.
   *
   * @param engine - The engine.
   * @param run - Its events, their time, and the time of its end.
   */
  addRun(
    engine: EndpointId,
    run: {
      readonly events: number;
      readonly tookMs: number;
      readonly nowMs: number;
    },
  ): void {
    if (run.events < MIN_EVENTS) {
      return;
    }
    const eventMs = run.tookMs / run.events;
    const known = this.#getFresh(engine, run.nowMs);
    this.#paces.set(engine, {
      eventMs: known === undefined
        ? eventMs
        : known + SAMPLE_WEIGHT * (eventMs - known),
      atMs: run.nowMs,
    });
  }

  /**
   * Returns the time of an event in milliseconds: the engine's own where it is
   * known, else the mean of all engines, else undefined.
   *
   * @param engine - The engine.
   * @param nowMs - The time.
   */
  getEventMs(engine: EndpointId, nowMs: number): number | undefined {
    return this.#getFresh(engine, nowMs) ?? this.#getMean(nowMs);
  }

  /**
   * Returns how slow an engine is compared with the mean; 1 where nothing is known.
   *
   * @param engine - The engine.
   * @param nowMs - The time.
   */
  getRatio(engine: EndpointId, nowMs: number): number {
    const own = this.#getFresh(engine, nowMs);
    const mean = this.#getMean(nowMs);
    return own === undefined || mean === undefined ? 1 : own / mean;
  }

  #getFresh(engine: EndpointId, nowMs: number): number | undefined {
    const known = this.#paces.get(engine);
    return known !== undefined && nowMs - known.atMs < PACE_LIFE_MS
      ? known.eventMs
      : undefined;
  }

  #getMean(nowMs: number): number | undefined {
    const fresh = [...this.#paces.keys()]
      .map((engine) => this.#getFresh(engine, nowMs))
      .filter((eventMs) => eventMs !== undefined);
    return fresh.length === 0
      ? undefined
      : fresh.reduce((sum, eventMs) => sum + eventMs, 0) / fresh.length;
  }
}
