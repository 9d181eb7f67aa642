/**
 * Defines the port to the platform's list of endpoints. The list lags behind
 * the actual state.
 * @module
 */
import type {
  EndpointId,
  FailureDomain,
  Incarnation,
  ModelName,
  Region,
} from "@briarhill/common/ids/ids";

/** An endpoint as listed by the platform. */
export interface ListedEndpoint {
  readonly id: EndpointId;
  readonly kind: "engine" | "service";
  /** The base URL, such as "http://127.0.0.1:9001". */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly region: Region;
  readonly incarnation: Incarnation;
  readonly state: "live" | "leaving";
  /** The models that an engine can serve; empty for a service. */
  readonly models: readonly ModelName[];
  /** The service's name; empty for an engine. */
  readonly service: string;
  /** Whether the endpoint rejects orders with a stale fencing number. */
  readonly checksFencing: boolean;
}

/** The platform's list of live and leaving endpoints. */
export abstract class HostList {
  /** Returns the platform's current list; throws a `PortError` on failure. */
  abstract getEndpoints(): Promise<readonly ListedEndpoint[]>;
}
