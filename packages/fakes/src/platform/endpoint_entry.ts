/**
 * Creates the entries of endpoint stand-ins in the platform's list.
 * @module
 */
import type { EndpointStandInOptions } from "./endpoint_stand_in_options.ts";

/** What changes between the entries of one endpoint. */
export interface EndpointState {
  readonly state: "ready" | "draining";
  readonly version: string;
  readonly models: readonly unknown[];
  readonly sequence: number;
  readonly born: number;
}

/**
 * Returns an entry.
 *
 * @example
 * ```ts
 * declare const options: EndpointStandInOptions;
 * declare const state: EndpointState;
 *
 * const { address } = createEndpointEntry(options, state);
 * ```
 * @param options - The options of the endpoint.
 * @param state - What has changed since the last entry.
 */
export function createEndpointEntry(
  options: EndpointStandInOptions,
  state: EndpointState,
) {
  const { service, zone } = options;
  const { hostname, port } = options.advertisedAddress ?? options;
  return {
    service,
    address: `${hostname}:${port}`,
    zone,
    slots: 4,
    coldLeftMs: 0,
    ...state,
  };
}
