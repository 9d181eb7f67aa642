/**
 * Limits on calls through the HTTP adapters.
 * @module
 */

/** How long the steps of a call may take, and how large its answer may be; timeouts are kept to about half a second. */
export interface HttpSettings {
  readonly connectTimeoutMs: number;
  /** From the request to the head of the answer. */
  readonly firstByteTimeoutMs: number;
  /** Between two parts of an answer's body. */
  readonly progressTimeoutMs: number;
  /** The longest whole answer or single line of a stream. */
  readonly maxReplyBytes: number;
}

/** The limits where an adapter is given none. */
export const DEFAULT_HTTP_SETTINGS: HttpSettings = {
  connectTimeoutMs: 2_000,
  firstByteTimeoutMs: 10_000,
  progressTimeoutMs: 10_000,
  maxReplyBytes: 16_777_216,
};
