/**
 * Names of the platform's HTTP headers. They are part of its protocol and must
 * not change.
 * @module
 */

/** The id of one attempt of a client; endpoints echo it. */
export const ATTEMPT_ID = "X-Briarhill-Attempt-Id";
/** Holds the key of a caller, as "Bearer KEY". */
export const AUTHORIZATION = "Authorization";
/** The name of the caller's workspace (the platform's word is tenant); set by the hosts only. */
export const TENANT = "X-Briarhill-Tenant";
/** The timeout of the sender of a request, in milliseconds. */
export const DEADLINE_MS = "X-Briarhill-Deadline-Ms";
/** The only endpoint that may serve the request; any other responds with 421. */
export const EXPECTED_INSTANCE = "X-Briarhill-Expected-Instance";
/**
 * Proves that an endpoint produced the response; absent from responses that a
 * host generates.
 */
export const SIGNATURE = "X-Briarhill-Server-Signature";
/** Present if the endpoint did not run the request. */
export const NOT_EXECUTED = "X-Briarhill-Not-Executed";
/** Set to "1" in every response of an endpoint that is about to stop. */
export const SERVER_LEAVING = "Server-Leaving";
/** The request rate per second that the endpoint accepts from all hosts together; absent if it has no limit. */
export const SERVER_LIMIT = "Server-Limit";
/** Running requests, waiting requests and slots of the endpoint; from some services also the duration of work at this moment in percent of the usual one. */
export const SERVER_LOAD = "X-Briarhill-Server-Load";
/** Maximum wait of a long-polling read, in milliseconds. */
export const WAIT_MS = "X-Briarhill-Wait-Ms";
/** Scheduling priority of a request at an engine, from 0 (highest) to 9. */
export const URGENCY = "X-Briarhill-Request-Urgency";
/** The only weight version that may serve the request. */
export const EXPECTED_VERSION = "X-Briarhill-Expected-Version";
/** The weight version that serves the request, in the head of a response or of an event. */
export const WEIGHT_VERSIONS = "X-Briarhill-Weight-Versions";
/** The caller's estimate of the number of output tokens. */
export const LENGTH_HINT = "X-Briarhill-Length-Hint";
/** Number of prompt tokens and maximum number of output tokens. */
export const TOKEN_USAGE = "X-Briarhill-Token-Usage";
/** The segments of the prompt, in order. */
export const PROMPT_PREFIX = "X-Briarhill-Prompt-Prefix";
/** The id of the last event that the reader of a stream has received. */
export const LAST_EVENT_ID = "Last-Event-Id";
/** The client attempt that received the first event of a stream which the client takes up. */
export const RESUMES = "Resumes";
/** The host that holds the duty, in a call to the platform's API. */
export const DUTY_HOLDER = "X-Briarhill-Duty-Holder";
/** The fencing number of the duty's holder; increases with each new holder. */
export const FENCING_TOKEN = "X-Briarhill-Fencing-Token";
