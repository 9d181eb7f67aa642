/**
 * The topics of the platform's store.
 * @module
 */

/** What the operator and the trainers write. */
export const OPERATOR_TOPIC = "keyed.op";
/** What the endpoints say of themselves. */
export const ENDPOINT_TOPIC = "keyed.servers";
/** Topics whose name begins so keep the newest record of each key. */
export const KEYED_PREFIX = "keyed.";
/** Our lots and their results; nothing else reads it. */
export const LOT_TOPIC = "keyed.lots";
/** Which lots are open, by model; nothing else reads it. */
export const LOT_WORK_TOPIC = "keyed.lot-work";
/** Our leases; nothing else reads it. */
export const LEASE_TOPIC = "leases";

/** The key of the operator's configuration. */
export const CONFIGURATION_KEY = "config";
/** Keys of the versions that trainers name begin so; the model's name follows. */
export const VERSION_KEY_PREFIX = "version/";
