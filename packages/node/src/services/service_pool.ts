/**
 * The endpoints of plain services that this host sends to.
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

/** What a service pool works with. */
export interface ServicePoolParts {
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly random: SeededRandom;
}

/** The endpoints of plain services that this host sends to. */
export class ServicePool {
  readonly #parts: ServicePoolParts;
  readonly #open = new Map<EndpointId, number>();
  readonly #ejector = new OutlierEjector();

  constructor(parts: ServicePoolParts) {
    this.#parts = parts;
  }

  /**
   * Picks the endpoint of a service with the least of this host's calls.
   *
   * @param service - The service's name.
   * @param excluded - Endpoints that were tried.
   */
  pick(
    service: string,
    excluded: readonly EndpointId[],
  ): EndpointId | undefined {
    const { clock, random } = this.#parts;
    const nowMs = clock.getMonotonicMs();
    const live = this.#listLive(service);
    const untried = live.filter(({ listed }) => !excluded.includes(listed.id));
    const admitted = untried.filter(({ listed }) =>
      random.getUnit() < this.#ejector.getPickShare(listed.id, nowMs)
    );
    const pool = [admitted, untried, live].find((list) => list.length > 0);
    return findLeast(
      pool ?? [],
      ({ listed }) => (this.#open.get(listed.id) ?? 0) + random.getUnit(),
    )?.listed.id;
  }

  /**
   * Returns the client of an endpoint.
   *
   * @param id - The endpoint.
   */
  getService(id: EndpointId): Service | undefined {
    return this.#parts.directory.getService(id);
  }

  /**
   * Records a call that is sent, or with -1 one that ended.
   *
   * @param id - The endpoint.
   * @param change - 1 or -1.
   */
  recordOpen(id: EndpointId, change: 1 | -1): void {
    const open = (this.#open.get(id) ?? 0) + change;
    if (open <= 0) {
      this.#open.delete(id);
    } else {
      this.#open.set(id, open);
    }
  }

  /**
   * Records an answer without fault.
   *
   * @param id - The endpoint.
   */
  recordSuccess(id: EndpointId): void {
    this.#ejector.recordSuccess(id, this.#parts.clock.getMonotonicMs());
  }

  /**
   * Records a fault that is the endpoint's own.
   *
   * @param id - The endpoint.
   * @param service - The service's name.
   */
  recordFailure(id: EndpointId, service: string): void {
    const nowMs = this.#parts.clock.getMonotonicMs();
    const total = this.#listLive(service).length;
    this.#ejector.recordFailure(id, { nowMs, total });
  }

  #listLive(service: string): readonly KnownEndpoint[] {
    return this.#parts.directory.getEndpoints().filter(({ listed, leaving }) =>
      listed.kind === "service" && listed.service === service && !leaving
    );
  }
}
