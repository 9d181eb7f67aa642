/**
 * Tracks the time per token of each engine, as measured on the streams of this
 * host.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

const SMOOTHING = 0.2;
const INITIAL_MS_PER_TOKEN = 15;
/** Half-life with which an old measurement decays towards the median, so that a slow engine is tried again. */
const HALF_LIFE_MS = 15_000;

interface Measurement {
  msPerToken: number;
  measuredAtMs: number;
}

/** The time per token on each engine; being measured locally, it doesn't depend on delayed load reports. */
export class SpeedTracker {
  readonly #engines = new Map<EndpointId, Measurement>();
  #medianMsPerToken = INITIAL_MS_PER_TOKEN;

  /**
   * Records the time that a section of a stream took.
   *
   * @param engine - The engine.
   * @param options - The number of tokens, the time they took, and the current time.
   */
  recordTokens(
    engine: EndpointId,
    options: {
      readonly tokens: number;
      readonly elapsedMs: number;
      readonly nowMs: number;
    },
  ): void {
    if (options.tokens <= 0) {
      return;
    }
    const measuredMs = options.elapsedMs / options.tokens;
    const previousMs = this.getMsPerToken(engine, options.nowMs);
    this.#engines.set(engine, {
      msPerToken: previousMs + SMOOTHING * (measuredMs - previousMs),
      measuredAtMs: options.nowMs,
    });
    this.#medianMsPerToken = this.#computeMedian();
  }

  /**
   * Returns the time per token on an engine, or the median of all engines if there
   * is no measurement of it.
   *
   * @param engine - The engine.
   * @param nowMs - The current time.
   */
  getMsPerToken(engine: EndpointId, nowMs: number): number {
    const measurement = this.#engines.get(engine);
    if (measurement === undefined) {
      return this.#medianMsPerToken;
    }
    const weight = 0.5 ** ((nowMs - measurement.measuredAtMs) / HALF_LIFE_MS);
    return this.#medianMsPerToken +
      (measurement.msPerToken - this.#medianMsPerToken) * weight;
  }

  /** Returns the median time per token of all engines. */
  getMedianMsPerToken(): number {
    return this.#medianMsPerToken;
  }

  /**
   * Removes the measurement of an engine that no longer exists.
   *
   * @param engine - The engine.
   */
  remove(engine: EndpointId): void {
    this.#engines.delete(engine);
  }

  #computeMedian(): number {
    const sorted = [...this.#engines.values()]
      .map(({ msPerToken }) => msPerToken)
      .sort((a, b) => a - b);
    return sorted[sorted.length >> 1] ?? INITIAL_MS_PER_TOKEN;
  }
}
