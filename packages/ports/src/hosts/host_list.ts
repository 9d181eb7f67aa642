/**
 * The port to the platform's list of endpoints, which lags.
 * @module
 */
import type {
  EndpointId,
  FailureDomain,
  Incarnation,
  ModelName,
  Region,
} from "@briarhill/common/ids/ids";

/** One endpoint as the platform lists it. */
export interface ListedEndpoint {
  readonly id: EndpointId;
  readonly kind: "engine" | "service";
  /** The base address, such as "http://127.0.0.1:9001". */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly region: Region;
  readonly incarnation: Incarnation;
  readonly state: "live" | "leaving";
  /** The models that an engine can serve; empty for a service. */
  readonly models: readonly ModelName[];
  /** The service's name; empty for an engine. */
  readonly service: string;
  /** Whether the endpoint refuses orders that carry an old fencing number. */
  readonly checksFencing: boolean;
}

/** The platform's list of live and leaving endpoints. */
export abstract class HostList {
  /** Returns the list as the platform knows it now; fails with a `PortError`. */
  abstract getEndpoints(): Promise<readonly ListedEndpoint[]>;
}
