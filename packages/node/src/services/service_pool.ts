/**
 * Picks endpoints for the calls of services, by the calls that this host has open
 * on them and by their recent failures.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import type { Service } from "@briarhill/ports/service/service";
import { findLeast } from "@briarhill/routing/picking/engine_picker";
import { OutlierEjector } from "@briarhill/routing/retries/outlier_ejector";
import type {
  EndpointDirectory,
  KnownEndpoint,
} from "../endpoints/endpoint_directory.ts";

/** Options of {@link ServicePool}. */
export interface ServicePoolOptions {
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly random: SeededRandom;
}

/** Picks endpoints of services and records the calls that this host sends to them. */
export class ServicePool {
  readonly #options: ServicePoolOptions;
  readonly #openCalls = new Map<EndpointId, number>();
  readonly #ejector = new OutlierEjector();

  constructor(options: ServicePoolOptions) {
    this.#options = options;
  }

  /**
   * Picks the endpoint of a service on which this host has the fewest open calls.
   * Ejected and excluded endpoints are picked only if no other is live.
   *
   * @param service - The service's name.
   * @param excluded - The endpoints that were already tried.
   */
  pick(
    service: string,
    excluded: readonly EndpointId[],
  ): EndpointId | undefined {
    const { clock, random } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const live = this.#listLive(service);
    const untried = live.filter(({ listed }) => !excluded.includes(listed.id));
    const admitted = untried.filter(({ listed }) =>
      random.getFloat() < this.#ejector.getPickShare(listed.id, nowMs)
    );
    const candidates = [admitted, untried, live].find((list) =>
      list.length > 0
    );
    return findLeast(
      candidates ?? [],
      ({ listed }) => (this.#openCalls.get(listed.id) ?? 0) + random.getFloat(),
    )?.listed.id;
  }

  /**
   * Returns the client of an endpoint.
   *
   * @param id - The endpoint's id.
   */
  getService(id: EndpointId): Service | undefined {
    return this.#options.directory.getService(id);
  }

  /**
   * Updates the number of open calls of an endpoint.
   *
   * @param id - The endpoint's id.
   * @param change - 1 when a call is sent, -1 when it has ended.
   */
  updateOpenCalls(id: EndpointId, change: 1 | -1): void {
    const open = (this.#openCalls.get(id) ?? 0) + change;
    if (open <= 0) {
      this.#openCalls.delete(id);
    } else {
      this.#openCalls.set(id, open);
    }
  }

  /**
   * Records a call that succeeded.
   *
   * @param id - The endpoint's id.
   */
  recordSuccess(id: EndpointId): void {
    this.#ejector.recordSuccess(id, this.#options.clock.getMonotonicMs());
  }

  /**
   * Records a failure for which the endpoint is responsible.
   *
   * @param id - The endpoint's id.
   * @param service - The service's name.
   */
  recordFailure(id: EndpointId, service: string): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const total = this.#listLive(service).length;
    this.#ejector.recordFailure(id, { nowMs, total });
  }

  #listLive(service: string): readonly KnownEndpoint[] {
    return this.#options.directory.getEndpoints().filter((
      { listed, leaving },
    ) => listed.kind === "service" && listed.service === service && !leaving);
  }
}
