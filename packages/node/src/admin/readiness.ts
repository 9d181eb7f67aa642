/**
 * Computes whether a node is ready to serve requests.
 * @module
 */
import type { ContractSource } from "../configuration/contract_source.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { ClosedReason, Lifecycle } from "../stops/lifecycle.ts";

/** The readiness of a node and the conditions that it depends on. */
export interface ReadinessReport {
  readonly ready: boolean;
  readonly hasConfiguration: boolean;
  readonly hasEndpoints: boolean;
  readonly accepting: boolean;
  /** Why the node accepts no new requests; absent while it accepts them. */
  readonly reason?: ClosedReason;
  readonly revision: number;
}

/** Options of {@link Readiness}. */
export interface ReadinessOptions {
  readonly contracts: ContractSource;
  readonly directory: EndpointDirectory;
  readonly lifecycle: Lifecycle;
}

/** Reports the readiness of a node; load balancers and operators get the same report. */
export class Readiness {
  readonly #options: ReadinessOptions;
  #hasEndpoints = false;

  constructor(options: ReadinessOptions) {
    this.#options = options;
  }

  /**
   * Returns the current readiness. Endpoints count as known once any has been
   * listed, because the platform's list can be empty temporarily.
   */
  getReport(): ReadinessReport {
    const { contracts, directory, lifecycle } = this.#options;
    const revision = contracts.getRevision();
    const hasConfiguration = contracts.isReady() && revision >= 0;
    const reason = lifecycle.getClosedReason();
    const accepting = reason === undefined;
    this.#hasEndpoints ||= directory.getEndpoints().length > 0;
    const hasEndpoints = this.#hasEndpoints;
    const ready = hasConfiguration && hasEndpoints && accepting;
    return {
      ready,
      hasConfiguration,
      hasEndpoints,
      accepting,
      ...reason && { reason },
      revision,
    };
  }
}
