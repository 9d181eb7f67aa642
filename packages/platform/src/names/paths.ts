/**
 * The paths of the platform's calls.
 * @module
 */

/** Asked by the platform's balancer, once a second. */
export const READY_PATH = "/briarhill/readyz";
/** Results of a lot; also ends it. */
export const LOTS_PATH = "/briarhill/lots/";
/** The bodies of a lot's items. */
export const ITEMS_PATH = "/briarhill/items/";
/** The state of an engine. */
export const REPORT_PATH = "/briarhill/report";
/** Orders to an engine. */
export const ORDER_PATH = "/briarhill/order";
/** Appends to the store's log. */
export const LOG_APPEND_PATH = "/briarhill/log-append";
/** Reads of the store's log. */
export const LOG_READ_PATH = "/briarhill/log-read";
/** The newest record of each key. */
export const LOG_NEWEST_PATH = "/briarhill/log-newest";
/** Joins a group of readers. */
export const LOG_JOIN_PATH = "/briarhill/log-join";
/** Leaves a group of readers. */
export const LOG_LEAVE_PATH = "/briarhill/log-leave";
/** The members of a group and what they hold. */
export const LOG_OWNERS_PATH = "/briarhill/log-owners";
