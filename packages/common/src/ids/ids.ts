/**
 * Identifiers and small enumerations shared by all packages. They are type
 * aliases of plain strings and numbers, which is what is sent on the wire.
 * @module
 */

/** An organisation or a team that holds a contract. */
export type CustomerId = string;

/** A machine that runs one briarhill process. */
export type HostId = string;

/** A group of hosts that fail together, such as a building or a power feed. */
export type FailureDomain = string;

/** A set of failure domains with low network latency between them. */
export type Region = string;

/** A model engine or a plain service that serves requests. */
export type EndpointId = string;

/** The name of a model in the requests of callers. */
export type ModelName = string;

/** The version number of a model's weights; a higher number is newer. */
export type WeightVersion = number;

/** A request of a live caller or a generation of a sample. */
export type RequestId = string;

/** All samples of one training step. */
export type LotId = string;

/** A sample of a lot. */
export type SampleId = string;

/** A number that increases each time a process is restarted. */
export type Incarnation = number;

/** The class of a request, which determines its histogram and its priority. */
export type RequestClass = "live" | "rollout" | "service";

/** Whether an endpoint executed a request, as far as known. */
export type Outcome = "not-run" | "ran" | "unknown";
