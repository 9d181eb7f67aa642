/**
 * Defines the limits on calls of the HTTP adapters.
 * @module
 */

/**
 * Timeouts of the steps of a call and size limits of its response; timeouts are
 * accurate to about half a second.
 */
export interface HttpSettings {
  readonly connectTimeoutMs: number;
  /** The timeout from the request to the head of the response. */
  readonly firstByteTimeoutMs: number;
  /** The timeout between two chunks of the response body. */
  readonly progressTimeoutMs: number;
  /** The maximum size of a complete response, or of one line of a stream. */
  readonly maxResponseBytes: number;
}

/** The defaults for limits that are not passed to an adapter. */
export const DEFAULT_HTTP_SETTINGS: HttpSettings = {
  connectTimeoutMs: 2_000,
  firstByteTimeoutMs: 10_000,
  progressTimeoutMs: 10_000,
  maxResponseBytes: 16_777_216,
};
