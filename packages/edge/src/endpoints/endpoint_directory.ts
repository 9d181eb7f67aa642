/**
 * Tracks the endpoints that the platform lists and what this host has observed
 * of them. A malformed entry must not stop the other entries from being applied.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { LogRecord } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import { decodeEndpoint } from "@briarhill/platform/records/endpoint_decoder";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import { EndpointPicker } from "@briarhill/routing/endpoints/endpoint_picker";
import { EndpointTable } from "@briarhill/routing/endpoints/endpoint_table";
import type { HostMetrics } from "../observe/host_metrics.ts";

/** Options of an {@link EndpointDirectory}. */
export interface EndpointDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: SeededRandom;
  /** Counts the picks of endpoints if given. */
  readonly metrics?: HostMetrics;
  /** Returns when a read of the list last failed, on the monotonic clock. */
  readonly getLastFailureAtMs: () => number;
  /** Called with the ids of endpoints that have been removed. */
  readonly onRemoved: (ids: readonly string[]) => void;
}

/** The endpoints that may receive requests. */
export class EndpointDirectory {
  readonly endpointPicker: EndpointPicker;
  readonly #options: EndpointDirectoryOptions;
  readonly #table = new EndpointTable();

  constructor(options: EndpointDirectoryOptions) {
    this.#options = options;
    this.endpointPicker = new EndpointPicker(options.random);
    this.endpointPicker.setPickListener((reason) =>
      options.metrics?.addPick(reason)
    );
  }

  /**
   * Applies a complete list; endpoints that are missing from it have been removed.
   *
   * @param records - The newest record of each endpoint.
   */
  applySnapshot(records: readonly LogRecord[]): void {
    this.applyRecords(records);
    const listed = new Set(
      records.filter(({ value }) => value.length > 0).map(({ key }) => key),
    );
    for (const { id } of this.#table.listUsable()) {
      if (!listed.has(id)) {
        this.#applyRemoval(id);
      }
    }
  }

  /**
   * Applies records in order; a record with an empty value removes its endpoint.
   *
   * @param records - The records of the list of endpoints.
   */
  applyRecords(records: readonly LogRecord[]): void {
    for (const { key, value } of records) {
      value.length === 0
        ? this.#applyRemoval(key)
        : this.#applyEntry(key, value);
    }
  }

  /**
   * Stops sending requests to an endpoint that has reported in a response that it
   * is leaving.
   *
   * @param endpoint - The endpoint.
   */
  setLeaving(endpoint: EndpointStructure): void {
    if (this.#table.setLeaving(endpoint)) {
      this.#options.logger.info("endpoint-leaving", {
        endpoint: endpoint.id,
        sign: "answer",
      });
    }
  }

  /**
   * Returns the endpoints of a service that may receive requests.
   *
   * @param service - The name of the service.
   */
  listEndpoints(service: string): readonly EndpointStructure[] {
    this.#removeExpired();
    return this.#table.listUsable().filter((endpoint) =>
      endpoint.service === service
    );
  }

  /** Returns the names of the services that have endpoints. */
  listServices(): readonly string[] {
    return [
      ...new Set(this.#table.listUsable().map(({ service }) => service)),
    ];
  }

  /**
   * Returns an endpoint if it may receive requests, else undefined.
   *
   * @param id - The id of the endpoint.
   */
  getEndpoint(id: string): EndpointStructure | undefined {
    this.#removeExpired();
    return this.#table.getUsable(id);
  }

  /**
   * Forgets the failures of the endpoints of a service, as they were those of this
   * host's links.
   *
   * @param service - The name of the service.
   */
  clearFailures(service: string): void {
    this.listEndpoints(service).forEach(({ id }) =>
      this.endpointPicker.getLoad(id).clearFailures()
    );
  }

  #applyEntry(id: string, value: LogRecord["value"]): void {
    const { logger } = this.#options;
    try {
      const endpoint = decodeEndpoint(id, value);
      const change = this.#table.applyEntry(endpoint);
      if (change === "added" || change === "leaving") {
        logger.info(`endpoint-${change}`, {
          endpoint: id,
          software: endpoint.softwareVersion,
        });
      }
    } catch (error) {
      if (!(error instanceof InputError)) {
        throw error;
      }
      logger.error("endpoint-entry-unreadable", error, { endpoint: id });
    }
  }

  #applyRemoval(id: string): void {
    const { clock, logger, getLastFailureAtMs } = this.#options;
    const change = this.#table.applyRemoval(id, {
      nowMs: clock.getMonotonicMs(),
      lastDisruptionAtMs: getLastFailureAtMs(),
    });
    if (change === "removed" || change === "removal-pending") {
      logger.info(`endpoint-${change}`, { endpoint: id });
    }
    if (change === "removed") {
      this.#options.onRemoved([id]);
    }
  }

  #removeExpired(): void {
    const expired = this.#table.removeExpired(
      this.#options.clock.getMonotonicMs(),
    );
    expired.forEach((id) =>
      this.#options.logger.info("endpoint-removed", { endpoint: id })
    );
    this.endpointPicker.removeLoads(expired);
    if (expired.length > 0) {
      this.#options.onRemoved(expired);
    }
  }
}
