/**
 * Probes some endpoints of a service over new connections.
 * @module
 */
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { ProbeRound } from "@briarhill/routing/reach/service_reach";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import { probeEndpoint, type ProbeResult } from "./reach_probe.ts";

/** Maximum number of endpoints that one round probes. */
const PROBES_PER_ROUND = 3;

/** Options of {@link ServiceProbe}. */
export interface ServiceProbeOptions {
  readonly random: SeededRandom;
  readonly directory: EndpointDirectory;
  /** Returns the path of the health check of a service. */
  readonly getHealthPath: (service: string) => string;
}

/** Probes services. */
export class ServiceProbe {
  readonly #options: ServiceProbeOptions;

  constructor(options: ServiceProbeOptions) {
    this.#options = options;
  }

  /**
   * Probes some endpoints of a service at once, and returns how many were probed, how
   * many answered, and how many refused the connection.
   *
   * @param service - The service.
   * @param excluded - The id of an endpoint that is not probed.
   */
  async probeService(
    service: string,
    excluded?: string,
  ): Promise<Pick<ProbeRound, "probed" | "reached" | "refused">> {
    const path = this.#options.getHealthPath(service);
    const endpoints = this.#pickEndpoints(service, excluded);
    const results = await Promise.all(
      endpoints.map(({ address }) => probeEndpoint(address, path)),
    );
    const countResults = (kind: ProbeResult) =>
      results.filter((result) => result === kind).length;
    return {
      probed: endpoints.length,
      reached: countResults("reached"),
      refused: countResults("refused"),
    };
  }

  /**
   * Returns whether this host reaches another endpoint of the service of one that it
   * does not reach, or of any service if there is none.
   *
   * @param endpoint - The endpoint that is not reached.
   */
  async hasLinks({ id, service }: EndpointStructure): Promise<boolean> {
    const { probed, reached } = await this.probeService(service, id);
    if (probed > 0) {
      return reached > 0;
    }
    const others = await Promise.all(
      this.#options.directory.listServices()
        .filter((other) => other !== service)
        .map((other) => this.probeService(other)),
    );
    return others.some((other) => other.reached > 0);
  }

  /** Endpoints of different failure domains come first, as one domain may be lost alone. */
  #pickEndpoints(
    service: string,
    excluded: string | undefined,
  ): readonly EndpointStructure[] {
    const { directory, random } = this.#options;
    const shuffled = directory.listEndpoints(service)
      .filter(({ id }) => id !== excluded)
      .map((endpoint) => ({ endpoint, rank: random.getFloat() }))
      .toSorted((first, second) => first.rank - second.rank)
      .map(({ endpoint }) => endpoint);
    const firstOfDomain = shuffled.filter(({ failureDomain }, index) =>
      shuffled.findIndex((other) => other.failureDomain === failureDomain) ===
        index
    );
    return [...new Set([...firstOfDomain, ...shuffled])]
      .slice(0, PROBES_PER_ROUND);
  }
}
