/**
 * Measures the speed at which an engine generates the tokens of one stream.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { SpeedTracker } from "@briarhill/routing/retries/speed_tracker";

/** Measures the speed at which an engine generates the tokens of one stream. */
export class SpeedMeter {
  readonly #speeds: SpeedTracker;
  #engine: EndpointId | undefined;
  #fromToken = 0;
  #sinceMs = 0;

  constructor(speeds: SpeedTracker) {
    this.#speeds = speeds;
  }

  /**
   * Starts a new measurement at a token.
   *
   * @param engine - The engine.
   * @param at - The offset of the token and the monotonic time.
   */
  start(
    engine: EndpointId,
    at: { readonly token: number; readonly nowMs: number },
  ): void {
    this.#engine = engine;
    this.#fromToken = at.token;
    this.#sinceMs = at.nowMs;
  }

  /** Stops the measurement; the time until the next start is not measured. */
  stop(): void {
    this.#engine = undefined;
  }

  /**
   * Records the tokens and the time since the last start or record.
   *
   * @param token - The current offset of the stream.
   * @param nowMs - The monotonic time.
   */
  record(token: number, nowMs: number): void {
    const elapsedMs = nowMs - this.#sinceMs;
    if (this.#engine !== undefined && elapsedMs > 0) {
      this.#speeds.recordTokens(this.#engine, {
        tokens: Math.max(1, token - this.#fromToken),
        elapsedMs,
        nowMs,
      });
      this.start(this.#engine, { token, nowMs });
    }
  }
}
