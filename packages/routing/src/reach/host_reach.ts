/**
 * What hosts share about the services that they reach.
 * @module
 */
import type { FailureDomain } from "@briarhill/common/ids/ids";

/** The services that one host has lost. */
export interface HostReach {
  /** The host's IP address. */
  readonly host: string;
  readonly failureDomain: FailureDomain;
  /** The services of which the host reaches no endpoint; empty on most hosts. */
  readonly lostServices: readonly string[];
}
