/**
 * Admission rules for hosts, endpoints and failure domains that operators
 * drain: a drained target gets no new work.
 * @module
 */
import type { FailureDomain, HostId } from "@briarhill/common/ids/ids";
import {
  type ConfigurationState,
  isDrained,
} from "../configuration/configuration_state.ts";

/** The properties of an endpoint by which drains select it. */
export interface DrainableEndpoint {
  readonly id: string;
  readonly failureDomain: FailureDomain;
}

/**
 * Returns whether an endpoint may get new work. Operators can undo a drain,
 * whereas an endpoint's own announcement that it is leaving is final.
 *
 * @example
 * ```ts
 * const open = endpoints.filter((endpoint) => canAcceptWork(state, endpoint));
 * ```
 * @param state - The current configuration.
 * @param endpoint - The endpoint to check.
 */
export function canAcceptWork(
  state: ConfigurationState,
  endpoint: DrainableEndpoint,
): boolean {
  const { id, failureDomain } = endpoint;
  return !isDrained(state, { endpoint: id, failureDomain });
}

/**
 * Returns whether a host may accept new calls and lots.
 *
 * @example
 * ```ts
 * const ready = canAcceptCalls(state, { host: "entry-1", failureDomain: "a" });
 * ```
 * @param state - The current configuration.
 * @param self - The local host and its failure domain.
 */
export function canAcceptCalls(
  state: ConfigurationState,
  self: { readonly host: HostId; readonly failureDomain: FailureDomain },
): boolean {
  const { host, failureDomain } = self;
  return !isDrained(state, { host, failureDomain });
}
