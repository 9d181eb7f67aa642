/**
 * The endpoints that the platform lists, and what this host has seen of them.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { LogRecord } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import { decodeEndpoint } from "@briarhill/platform/records/endpoint_decoder";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import { EndpointBoard } from "@briarhill/routing/endpoints/endpoint_board";
import { EndpointTable } from "@briarhill/routing/endpoints/endpoint_table";

/** What a directory needs. */
export interface EndpointDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: SeededRandom;
  /** Returns when the list was last unreadable, on the monotonic clock. */
  readonly getDisturbedAtMs: () => number;
}

/** The endpoints that may get work. */
export class EndpointDirectory {
  readonly board: EndpointBoard;
  readonly #options: EndpointDirectoryOptions;
  readonly #table = new EndpointTable();

  constructor(options: EndpointDirectoryOptions) {
    this.#options = options;
    this.board = new EndpointBoard(options.random);
  }

  /**
   * Applies a whole list: what is missing from it has been removed.
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
   * Applies records in their order.
   *
   * @param records - The records.
   */
  applyRecords(records: readonly LogRecord[]): void {
    for (const { key, value } of records) {
      value.length === 0
        ? this.#applyRemoval(key)
        : this.#applyEntry(key, value);
    }
  }

  /**
   * Gives an endpoint no more work, as one of its own answers says that it is leaving.
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
   * Returns the endpoints of a service that may get work.
   *
   * @param service - The service's name.
   */
  listEndpoints(service: string): readonly EndpointStructure[] {
    this.#removeLapsed();
    return this.#table.listUsable().filter((endpoint) =>
      endpoint.service === service
    );
  }

  /**
   * Returns an endpoint that may get work, or undefined.
   *
   * @param id - The endpoint.
   */
  getEndpoint(id: string): EndpointStructure | undefined {
    this.#removeLapsed();
    return this.#table.getUsable(id);
  }

  #applyEntry(id: string, value: LogRecord["value"]): void {
    const { logger } = this.#options;
    try {
      const change = this.#table.applyEntry(decodeEndpoint(id, value));
      if (change === "added" || change === "leaving") {
        logger.info(`endpoint-${change}`, { endpoint: id });
      }
    } catch (error) {
      if (!(error instanceof InputError)) {
        throw error;
      }
      logger.error("endpoint-entry-unreadable", error, { endpoint: id });
    }
  }

  #applyRemoval(id: string): void {
    const { clock, logger, getDisturbedAtMs } = this.#options;
    const change = this.#table.applyRemoval(id, {
      nowMs: clock.getMonotonicMs(),
      disturbedAtMs: getDisturbedAtMs(),
    });
    if (change === "removed" || change === "removal-pending") {
      logger.info(`endpoint-${change}`, { endpoint: id });
    }
  }

  #removeLapsed(): void {
    const lapsed = this.#table.removeLapsed(
      this.#options.clock.getMonotonicMs(),
    );
    lapsed.forEach((id) =>
      this.#options.logger.info("endpoint-removed", { endpoint: id })
    );
    this.board.removeLoads(lapsed);
  }
}
