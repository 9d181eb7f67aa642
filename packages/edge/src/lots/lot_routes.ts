/**
 * Answers trainers' calls about lots.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  decodeLot,
  encodeResultPage,
} from "@briarhill/platform/ingress/lot_codec";
import { Buffer } from "node:buffer";
import { writeProblemReply, writeReply } from "../calls/caller_reply.ts";
import type {
  CallerExchange,
  RoutedExchange,
} from "../calls/caller_exchange.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";
import {
  FORWARDED_MAX_AGE_MS,
  type LotHandler,
  type LotLookup,
  type LotLookupResult,
} from "./lot_handler.ts";

/** Timeout for storing a lot, in milliseconds; the shared log is seldom unreachable for longer. */
const ACCEPT_TIMEOUT_MS = 6_000;
/** Timeout for closing a lot, in milliseconds. */
const END_TIMEOUT_MS = 5_000;
/** Part of the caller's deadline reserved for sending the response, in milliseconds. */
const RESPONSE_MARGIN_MS = 100;
/** Delay after which callers should retry while the shared log is unreachable, in milliseconds. */
const LOG_RETRY_AFTER_MS = 300;
/** Maximum time that a read waits for a result, in milliseconds. */
const MAX_WAIT_MS = 1_000;

/** Options of `LotRoutes`. */
export interface LotRoutesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly lotHandler: LotHandler;
  readonly metrics: HostMetrics;
}

/** Answers trainers' calls about lots. */
export class LotRoutes {
  readonly #options: LotRoutesOptions;

  constructor(options: LotRoutesOptions) {
    this.#options = options;
  }

  /**
   * Answers the submission of a lot.
   *
   * @param exchange - The request.
   */
  async handleSubmission(exchange: RoutedExchange): Promise<void> {
    const { clock, lotHandler, logger, metrics } = this.#options;
    const { request, response, head, workspace, arrivedAtMs, body } = exchange;
    const lot = decodeLot(body, {
      id: head.attemptId,
      host: request.headers.host ?? "",
      path: request.url ?? "/",
      ...(workspace === undefined ? {} : { workspace }),
      acceptedAtMs: clock.getWallMs(),
    });
    const timeoutMs = Math.min(
      ACCEPT_TIMEOUT_MS,
      head.deadlineMs - RESPONSE_MARGIN_MS,
    );
    const outcome = await lotHandler.admitLot(lot, arrivedAtMs + timeoutMs);
    const tookMs = clock.getMonotonicMs() - arrivedAtMs;
    metrics.addLotSubmission(exchange.route.name, outcome, tookMs);
    logger.info("lot-submitted", {
      lot: lot.id,
      ...(workspace === undefined ? {} : { workspace }),
      outcome,
      samples: lot.samples.length,
      model: lot.model,
      minVersion: lot.minVersion,
      tookMs: Math.round(tookMs),
    });
    if (outcome === "appended") {
      writeReply(response, { status: 202, headers: [], body: Buffer.alloc(0) });
    } else if (outcome === "not-run") {
      this.#writeUnavailable(exchange);
    } else {
      // The lot may still appear in the log, so neither acceptance nor rejection can be reported.
      writeProblemReply(response, {
        status: 502,
        title: "the lot may be kept",
      });
    }
  }

  /**
   * Answers a read of results.
   *
   * @param exchange - The request.
   * @param read - The lot's id and the first position to return.
   */
  async handleResults(
    exchange: CallerExchange,
    read: { readonly lot: string; readonly after: number },
  ): Promise<void> {
    const { lotHandler } = this.#options;
    const maxAgeMs = getMaxAgeMs(exchange);
    const lookup = createLookup(exchange, read.lot);
    let answer = await lotHandler.findLot(lookup, maxAgeMs);
    const waitMs = Math.min(exchange.head.waitMs, MAX_WAIT_MS);
    if (answer.kind === "found" && waitMs > 0) {
      await lotHandler.waitResult(answer.lot, read.after, waitMs);
      // This host may have been suspended while it waited.
      answer = await lotHandler.findLot(lookup, maxAgeMs);
    }
    if (answer.kind !== "found") {
      this.#writeMissing(exchange, read.lot, answer);
      return;
    }
    const { lot } = answer;
    writeReply(exchange.response, {
      status: 200,
      headers: ["Content-Type", "application/json"],
      body: encodeResultPage(lot.results, {
        total: lot.request.samples.length,
        after: read.after,
      }),
    });
  }

  /**
   * Answers a request to close a lot.
   *
   * @param exchange - The request.
   * @param id - The lot's id.
   */
  async handleEnd(exchange: CallerExchange, id: string): Promise<void> {
    const { clock, lotHandler, logger } = this.#options;
    const { arrivedAtMs, response, head } = exchange;
    const timeoutMs = Math.min(
      END_TIMEOUT_MS,
      head.deadlineMs - RESPONSE_MARGIN_MS,
    );
    const outcome = await lotHandler.closeLot(
      createLookup(exchange, id),
      arrivedAtMs + timeoutMs,
    );
    logger.info("lot-ended", {
      lot: id,
      outcome,
      tookMs: Math.round(clock.getMonotonicMs() - arrivedAtMs),
    });
    if (outcome === "missing") {
      writeProblemReply(response, { status: 404, title: "no such lot" });
    } else if (outcome === "appended") {
      writeReply(response, { status: 200, headers: [], body: Buffer.alloc(0) });
    } else if (outcome === "not-run") {
      this.#writeUnavailable(exchange);
    } else {
      writeProblemReply(response, {
        status: 502,
        title: "the lot may have ended",
      });
    }
  }

  /**
   * Answers a read of a sample's request body.
   *
   * @param exchange - The request.
   * @param read - The ids of the lot and the sample.
   */
  async handleBody(
    exchange: CallerExchange,
    read: { readonly lot: string; readonly sample: string },
  ): Promise<void> {
    const answer = await this.#options.lotHandler.findLot(
      createLookup(exchange, read.lot),
      getMaxAgeMs(exchange),
    );
    if (answer.kind !== "found") {
      this.#writeMissing(exchange, read.lot, answer);
      return;
    }
    const sample = answer.lot.request.samples.find(({ id }) =>
      id === read.sample
    );
    if (sample === undefined) {
      writeProblemReply(exchange.response, {
        status: 404,
        title: "no such sample",
      });
      return;
    }
    writeReply(exchange.response, {
      status: 200,
      headers: ["Content-Type", "application/octet-stream"],
      body: Buffer.from(sample.body, "base64"),
    });
  }

  #writeMissing(
    exchange: CallerExchange,
    lot: string,
    { kind }: LotLookupResult,
  ): void {
    this.#options.logger.info("lot-lookup-failed", { lot, kind });
    if (kind === "missing") {
      writeProblemReply(exchange.response, {
        status: 404,
        title: "no such lot",
      });
      return;
    }
    this.#writeUnavailable(exchange);
  }

  #writeUnavailable({ response }: CallerExchange): void {
    writeProblemReply(response, {
      status: 503,
      title: "the shared log is away",
      retryAfterMs: LOG_RETRY_AFTER_MS,
    });
  }
}

function createLookup({ workspace }: CallerExchange, id: string): LotLookup {
  return { id, workspace };
}

/** Limits the age for forwarded calls: this host may be cut off from the log while the forwarding host is not. */
function getMaxAgeMs({ isForwarded }: CallerExchange): number {
  return isForwarded ? FORWARDED_MAX_AGE_MS : Infinity;
}
