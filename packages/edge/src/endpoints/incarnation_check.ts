/**
 * Confirms that an endpoint is still the incarnation that is listed. An endpoint may
 * restart under its id with another software version while the list can't be read.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
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

/** Confirms that endpoints are the incarnations that are listed. */
export class IncarnationCheck {
  readonly #options: IncarnationCheckOptions;

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
   * report if the list can't be trusted.
   *
   * @param endpoint - The endpoint as it is listed.
   */
  async isConfirmed(endpoint: EndpointStructure): Promise<boolean> {
    return this.isListed(endpoint) || await this.#isReported(endpoint);
  }

  async #isReported(endpoint: EndpointStructure): Promise<boolean> {
    const { sender, logger, directory, clock } = this.#options;
    try {
      const response = await sender.callControl(
        endpoint,
        encodeReportCall(endpoint.id),
        REPORT_TIMEOUT_MS,
      );
      return response.status === STATUS_OK &&
        decodeReport(response).startedAtMs === endpoint.startedAtMs;
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      // Without a pause, samples would ask the same endpoint again each few milliseconds.
      directory.endpointPicker.getLoad(endpoint.id)
        .addFailure("unreachable", clock.getMonotonicMs());
      logger.warn("incarnation-unconfirmed", {
        endpoint: endpoint.id,
        reason: error.message,
      });
      return false;
    }
  }
}
