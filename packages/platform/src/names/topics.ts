/**
 * Topics and keys of the platform's store. They name stored data and must not
 * change.
 * @module
 */

/** Records of the operator and the trainers. */
export const OPERATOR_TOPIC = "keyed.op";
/** Records that endpoints publish about themselves. */
export const ENDPOINT_TOPIC = "keyed.servers";
/** Prefix of the topics that retain the newest record of each key. */
export const KEYED_PREFIX = "keyed.";
/** Lots and their results; read by hosts only. */
export const LOT_TOPIC = "keyed.lots";
/** Open lots, by model; read by hosts only. */
export const OPEN_LOT_TOPIC = "keyed.lot-work";
/** Limits of endpoints; read by hosts only. */
export const LIMIT_TOPIC = "keyed.limits";
/** Endpoints that ended while they ran a request; read by hosts only. */
export const CRASH_TOPIC = "keyed.crashes";
/** Software versions of services, in the order of their first use; read by hosts only. */
export const VERSION_TOPIC = "keyed.software-versions";
/** Software versions at which streams have begun; read by hosts only. */
export const STREAM_TOPIC = "keyed.streams";
/** Services whose endpoints a host does not reach, by host; read by hosts only. */
export const REACH_TOPIC = "keyed.reach";
/** Leases of the hosts; read by hosts only. */
export const LEASE_TOPIC = "leases";

/** Requests that each host has counted, by window; read by the holder of the lease only. */
export const USAGE_TOPIC = "usage";
/** Usage of closed windows; read by the holder of the lease only. */
export const USAGE_WINDOW_TOPIC = "keyed.usage-windows";
/** Demand for servers and the numbers that were ordered; read by the holder of the lease only. */
export const SCALING_TOPIC = "keyed.scaling";

/** The key of the operator's configuration. */
export const CONFIGURATION_KEY = "config";
/** Prefix of the keys of announced weight versions; the model's name follows. */
export const VERSION_KEY_PREFIX = "version/";
