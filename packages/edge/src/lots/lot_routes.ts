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
import { writeOwnReply, writeWhole } from "../calls/caller_reply.ts";
import type { CallerExchange, RoutedExchange } from "../calls/ingress.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";
import {
  FORWARDED_FRESH_MS,
  type LotAnswer,
  type LotDesk,
} from "./lot_desk.ts";

/** The longest try to keep a lot, in milliseconds: the store is seldom away longer. */
const ACCEPT_BOUND_MS = 6_000;
/** The longest try to end a lot, in milliseconds. */
const END_BOUND_MS = 5_000;
/** Time kept for the way back to the caller, in milliseconds. */
const RETURN_MS = 100;
/** When to come back while the store is away, in milliseconds. */
const AWAY_RETRY_MS = 300;
/** The longest that a read is held open, in milliseconds. */
const MAX_WAIT_MS = 1_000;

/** What answers trainers. */
export interface LotRoutesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly desk: LotDesk;
  readonly metrics: HostMetrics;
}

/** Answers trainers' calls about lots. */
export class LotRoutes {
  readonly #options: LotRoutesOptions;

  constructor(options: LotRoutesOptions) {
    this.#options = options;
  }

  /**
   * Takes a lot that is handed in.
   *
   * @param exchange - The request.
   */
  async handleHandIn(exchange: RoutedExchange): Promise<void> {
    const { clock, desk, logger, metrics } = this.#options;
    const { request, response, head, arrivedAtMs, body } = exchange;
    const lot = decodeLot(body, {
      id: head.attemptId,
      host: request.headers.host ?? "",
      path: request.url ?? "/",
      acceptedAtMs: clock.getWallMs(),
    });
    const boundMs = Math.min(ACCEPT_BOUND_MS, head.deadlineMs - RETURN_MS);
    const outcome = await desk.admitLot(lot, arrivedAtMs + boundMs);
    const tookMs = clock.getMonotonicMs() - arrivedAtMs;
    metrics.addHandIn(exchange.route.name, outcome, tookMs);
    logger.info("lot-handed-in", {
      lot: lot.id,
      outcome,
      samples: lot.samples.length,
      model: lot.model,
      minVersion: lot.minVersion,
      tookMs: Math.round(tookMs),
    });
    if (outcome === "appended") {
      writeWhole(response, { status: 202, headers: [], body: Buffer.alloc(0) });
    } else if (outcome === "not-run") {
      this.#writeAway(exchange);
    } else {
      // The lot may still appear in the log, so nothing is promised.
      writeOwnReply(response, { status: 502, title: "the lot may be kept" });
    }
  }

  /**
   * Answers a read of results.
   *
   * @param exchange - The request.
   * @param read - The lot, and the first position wanted.
   */
  async handleResults(
    exchange: CallerExchange,
    read: { readonly lot: string; readonly after: number },
  ): Promise<void> {
    const { desk } = this.#options;
    const answer = await desk.findLot(read.lot, getFreshMs(exchange));
    if (answer.kind !== "found") {
      this.#writeMissing(exchange, read.lot, answer);
      return;
    }
    const { lot } = answer;
    const waitMs = Math.min(exchange.head.waitMs, MAX_WAIT_MS);
    if (waitMs > 0) {
      await desk.waitResult(lot, read.after, waitMs);
    }
    writeWhole(exchange.response, {
      status: 200,
      headers: ["Content-Type", "application/json"],
      body: encodeResultPage(lot.results, {
        total: lot.request.samples.length,
        after: read.after,
      }),
    });
  }

  /**
   * Ends a lot.
   *
   * @param exchange - The request.
   * @param id - The lot.
   */
  async handleEnd(exchange: CallerExchange, id: string): Promise<void> {
    const { clock, desk, logger } = this.#options;
    const { arrivedAtMs, response, head } = exchange;
    const boundMs = Math.min(END_BOUND_MS, head.deadlineMs - RETURN_MS);
    const outcome = await desk.closeLot(id, arrivedAtMs + boundMs);
    logger.info("lot-ended", {
      lot: id,
      outcome,
      tookMs: Math.round(clock.getMonotonicMs() - arrivedAtMs),
    });
    if (outcome === "missing") {
      writeOwnReply(response, { status: 404, title: "no such lot" });
    } else if (outcome === "appended") {
      writeWhole(response, { status: 200, headers: [], body: Buffer.alloc(0) });
    } else if (outcome === "not-run") {
      this.#writeAway(exchange);
    } else {
      writeOwnReply(response, { status: 502, title: "the lot may have ended" });
    }
  }

  /**
   * Answers a read of a sample's request body.
   *
   * @param exchange - The request.
   * @param read - The lot and the sample.
   */
  async handleBody(
    exchange: CallerExchange,
    read: { readonly lot: string; readonly sample: string },
  ): Promise<void> {
    const answer = await this.#options.desk.findLot(
      read.lot,
      getFreshMs(exchange),
    );
    if (answer.kind !== "found") {
      this.#writeMissing(exchange, read.lot, answer);
      return;
    }
    const sample = answer.lot.request.samples.find(({ id }) =>
      id === read.sample
    );
    if (sample === undefined) {
      writeOwnReply(exchange.response, {
        status: 404,
        title: "no such sample",
      });
      return;
    }
    writeWhole(exchange.response, {
      status: 200,
      headers: ["Content-Type", "application/octet-stream"],
      body: Buffer.from(sample.body, "base64"),
    });
  }

  #writeMissing(
    exchange: CallerExchange,
    lot: string,
    { kind }: LotAnswer,
  ): void {
    this.#options.logger.info("lot-not-shown", { lot, kind });
    if (kind === "missing") {
      writeOwnReply(exchange.response, { status: 404, title: "no such lot" });
      return;
    }
    this.#writeAway(exchange);
  }

  #writeAway({ response }: CallerExchange): void {
    writeOwnReply(response, {
      status: 503,
      title: "the shared log is away",
      retryAfterMs: AWAY_RETRY_MS,
    });
  }
}

/** A host that answers for another one may itself be cut off from the log, and the other one not. */
function getFreshMs({ isForwarded }: CallerExchange): number {
  return isForwarded ? FORWARDED_FRESH_MS : Infinity;
}
