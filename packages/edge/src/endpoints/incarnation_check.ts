/**
 * Confirms that an endpoint is still the incarnation that is listed. An endpoint may
 * restart under its id with another software version while the list can't be read.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  decodeReport,
  encodeReportCall,
} from "@briarhill/platform/engine/engine_calls";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { EndpointDirectory } from "./endpoint_directory.ts";
import type { EndpointSender } from "../calls/endpoint_sender.ts";

/** The age up to which the list of endpoints is trusted, in milliseconds; entries of some endpoint arrive several times a second. */
const MAX_LIST_AGE_MS = 400;
/** The time for which the report of an endpoint is trusted, in milliseconds; no endpoint restarts within it. */
const REPORT_LIFETIME_MS = 150;
/** The timeout of a report, in milliseconds: several round trips between failure domains. */
const REPORT_TIMEOUT_MS = 150;
const STATUS_OK = 200;

/** Options of {@link IncarnationCheck}. */
export interface IncarnationCheckOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly sender: EndpointSender;
  readonly directory: EndpointDirectory;
  /** Returns the time since the list of endpoints was last read to its end, in milliseconds. */
  readonly getListAgeMs: () => number;
}

/** The latest confirmation of an endpoint by its own report. */
interface Confirmation {
  readonly startedAtMs: number;
  /** When the report was requested, on the monotonic clock. */
  readonly atMs: number;
  /** The failures of the endpoint when the report was requested. */
  readonly failures: number;
}

/** Confirms that endpoints are the incarnations that are listed. */
export class IncarnationCheck {
  readonly #options: IncarnationCheckOptions;
  readonly #confirmations = new Map<EndpointId, Confirmation>();
  /** The reports that are being requested, by endpoint and incarnation. */
  readonly #requested = new Map<string, Promise<boolean>>();

  constructor(options: IncarnationCheckOptions) {
    this.#options = options;
  }

  /**
   * Returns whether the list can be trusted for an endpoint: it was read recently,
   * and the endpoint has not failed since it last served.
   *
   * @param endpoint - The endpoint as it is listed.
   */
  isListed({ id }: EndpointStructure): boolean {
    const { getListAgeMs, directory } = this.#options;
    return getListAgeMs() <= MAX_LIST_AGE_MS &&
      !directory.endpointPicker.getLoad(id).hasFailed;
  }

  /**
   * Returns whether an endpoint is the incarnation that is listed, by its own
   * report if the list can't be trusted. Requests that need a report at the same
   * time or soon after share it: a lot would otherwise request one a sample, each
   * on a connection of its own.
   *
   * @param endpoint - The endpoint as it is listed.
   */
  async isConfirmed(endpoint: EndpointStructure): Promise<boolean> {
    return this.isListed(endpoint) || this.#isRecentlyConfirmed(endpoint) ||
      await this.#checkReport(endpoint);
  }

  #isRecentlyConfirmed({ id, startedAtMs }: EndpointStructure): boolean {
    const { clock, directory } = this.#options;
    const confirmation = this.#confirmations.get(id);
    const { failures } = directory.endpointPicker.getLoad(id);
    return confirmation?.startedAtMs === startedAtMs &&
      clock.getMonotonicMs() - confirmation.atMs <= REPORT_LIFETIME_MS &&
      failures <= confirmation.failures;
  }

  #checkReport(endpoint: EndpointStructure): Promise<boolean> {
    const key = `${endpoint.id} ${endpoint.startedAtMs}`;
    const requested = this.#requested.get(key);
    if (requested !== undefined) {
      return requested;
    }
    const report = this.#isReported(endpoint)
      .finally(() => this.#requested.delete(key));
    this.#requested.set(key, report);
    return report;
  }

  #addConfirmation(id: EndpointId, confirmation: Confirmation): void {
    for (const [known, { atMs }] of this.#confirmations) {
      if (confirmation.atMs - atMs > REPORT_LIFETIME_MS) {
        this.#confirmations.delete(known);
      }
    }
    this.#confirmations.set(id, confirmation);
  }

  async #isReported(endpoint: EndpointStructure): Promise<boolean> {
    const { sender, logger, directory, clock } = this.#options;
    const { id, startedAtMs } = endpoint;
    const { failures } = directory.endpointPicker.getLoad(id);
    const atMs = clock.getMonotonicMs();
    try {
      const response = await sender.callControl(
        endpoint,
        encodeReportCall(id),
        REPORT_TIMEOUT_MS,
      );
      const isSame = response.status === STATUS_OK &&
        decodeReport(response).startedAtMs === startedAtMs;
      if (isSame) {
        this.#addConfirmation(id, { startedAtMs, atMs, failures });
      }
      return isSame;
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      // Without a pause, samples would ask the same endpoint again each few milliseconds.
      directory.endpointPicker.getLoad(id)
        .addFailure("unreachable", clock.getMonotonicMs());
      logger.warn("incarnation-unconfirmed", {
        endpoint: id,
        reason: error.message,
      });
      return false;
    }
  }
}
