/**
 * The state that an endpoint reports about itself.
 * @module
 */
import type { EndpointId, FailureDomain } from "@briarhill/common/ids/ids";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";

/** An endpoint that requests may be sent to. */
export interface EndpointStructure {
  readonly id: EndpointId;
  readonly service: string;
  /** Version of the endpoint's software, not of its models; empty if it is not reported. */
  readonly softwareVersion: string;
  readonly address: HttpAddress;
  readonly failureDomain: FailureDomain;
  /** Maximum number of requests that it runs concurrently. */
  readonly slots: number;
  /** Whether it accepts no new requests because it is about to stop. */
  readonly isLeaving: boolean;
  /** Whether the platform may take it away at short notice. */
  readonly isReclaimable?: boolean;
  /** Remaining warm-up time, during which it is slow, in milliseconds. */
  readonly coldMs: number;
  /** Start time in milliseconds since 1970; 0 if it is not reported. */
  readonly startedAtMs: number;
  /** Version of each model that it has loaded. */
  readonly models: ReadonlyMap<string, number>;
  /** Number of reports that it has sent since its start. */
  readonly beat: number;
}
