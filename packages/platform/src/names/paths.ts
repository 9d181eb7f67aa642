/**
 * Paths of the platform's calls. They are part of its protocol and must not
 * change.
 * @module
 */

/** Readiness probe, requested by the platform's load balancer once per second. */
export const READY_PATH = "/briarhill/readyz";
/** Reads the results of a lot; with DELETE, ends the lot. */
export const LOTS_PATH = "/briarhill/lots/";
/** Reads the request bodies of a lot's items. */
export const ITEMS_PATH = "/briarhill/items/";
/** Reads the state of an engine. */
export const REPORT_PATH = "/briarhill/report";
/** Sends an order to an engine. */
export const ORDER_PATH = "/briarhill/order";
/** Appends records to the store's log. */
export const LOG_APPEND_PATH = "/briarhill/log-append";
/** Reads records of the store's log. */
export const LOG_READ_PATH = "/briarhill/log-read";
/** Reads the newest record of each key. */
export const LOG_NEWEST_PATH = "/briarhill/log-newest";
/** Joins a consumer group, or renews a membership. */
export const LOG_JOIN_PATH = "/briarhill/log-join";
/** Leaves a consumer group. */
export const LOG_LEAVE_PATH = "/briarhill/log-leave";
/** Reads the members of a consumer group and their partitions. */
export const LOG_OWNERS_PATH = "/briarhill/log-owners";
/** Reports the usage of one window to the platform's API. */
export const USAGE_PATH = "/usage";
/** Orders servers of a service from the platform's API. */
export const SCALE_PATH = "/scale";
