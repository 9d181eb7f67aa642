/**
 * The names of the platform's HTTP headers.
 * @module
 */

/** The id of one attempt of a client; endpoints echo it. */
export const ATTEMPT_ID = "X-Briarhill-Attempt-Id";
/** How long the sender of a request will wait, in milliseconds. */
export const DEADLINE_MS = "X-Briarhill-Deadline-Ms";
/** The endpoint that alone may answer; any other answers 421. */
export const EXPECTED_INSTANCE = "X-Briarhill-Expected-Instance";
/** Proves that an endpoint has made the answer; absent in answers of our own. */
export const SIGNATURE = "X-Briarhill-Server-Signature";
/** Present where the endpoint has not run the request. */
export const NOT_EXECUTED = "X-Briarhill-Not-Executed";
/** Says "1" in every answer of an endpoint that is about to stop. */
export const LEAVING = "Server-Leaving";
/** Running requests, waiting requests and slots of the endpoint. */
export const LOAD = "X-Briarhill-Server-Load";
/** How long a read may be held open, in milliseconds. */
export const WAIT_MS = "X-Briarhill-Wait-Ms";
/** The rank of a request at an engine, from 0 (first) to 9. */
export const URGENCY = "X-Briarhill-Request-Urgency";
/** The only version of the weights that may serve the request. */
export const EXPECTED_VERSION = "X-Briarhill-Expected-Version";
/** The version of the weights that serves, at the head of the answer and of an event. */
export const WEIGHT_VERSIONS = "X-Briarhill-Weight-Versions";
/** The caller's estimate of the number of output tokens. */
export const LENGTH_HINT = "X-Briarhill-Length-Hint";
/** Prompt tokens and the greatest number of output tokens. */
export const TOKEN_USAGE = "X-Briarhill-Token-Usage";
/** The parts of the prompt, in order. */
export const PROMPT_PREFIX = "X-Briarhill-Prompt-Prefix";
/** The last event that the reader of a stream has received. */
export const LAST_EVENT_ID = "Last-Event-Id";
