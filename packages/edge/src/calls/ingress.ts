/**
 * Dispatches callers' requests to the handlers of readiness checks, lots and
 * live calls. Every request must get a response or have its connection closed.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  decodeIngressCall,
  type IngressCall,
} from "@briarhill/platform/ingress/ingress_call";
import {
  decodeRequestHead,
  type RequestHead,
} from "@briarhill/platform/ingress/request_head";
import type { StopWindow } from "@briarhill/routing/admission/stop_window";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { LotCallForwarder } from "../lots/lot_call_forwarder.ts";
import type { LotRoutes } from "../lots/lot_routes.ts";
import { isForwardedCall } from "../peers/hop_headers.ts";
import { writeProblemReply } from "./caller_reply.ts";
import { canFinish, refuseLate } from "./late_request.ts";
import type { LiveCalls } from "./live_calls.ts";
import { readRequestBody } from "./request_body.ts";

/** The retry delay that is reported while this host has no configuration yet, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** The time that handlers have to respond to requests that are ended, in milliseconds. */
const ENDED_RESPONSE_MS = 100;

/** A caller's request and the response to write. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: RequestHead;
  /** The time at which the request arrived, on the monotonic clock. */
  readonly arrivedAtMs: number;
  /** Whether another host forwarded the request for its client. */
  readonly isForwarded: boolean;
  /** Aborts when this host ends the requests that are still open. */
  readonly endSignal: AbortSignal;
}

/** A request that matched a route, with its complete body. */
export interface RoutedExchange extends CallerExchange {
  readonly route: RouteStructure;
  readonly body: Buffer;
}

/** Options of {@link Ingress}. */
export interface IngressOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getTable: () => RouteTable | undefined;
  readonly isReady: () => boolean;
  readonly stopWindow: StopWindow;
  readonly liveCalls: LiveCalls;
  readonly lotRoutes: LotRoutes;
  readonly lotCallForwarder: LotCallForwarder;
}

/** Dispatches callers' requests to their handlers. */
export class Ingress {
  readonly #options: IngressOptions;
  /** The responses of the requests in progress, and what ends each request. */
  readonly #openResponses = new Map<ServerResponse, AbortController>();

  constructor(options: IngressOptions) {
    this.#options = options;
  }

  /** The number of requests in progress. */
  get openRequests(): number {
    return this.#openResponses.size;
  }

  /**
   * Ends the requests that are still open with a response that tells whether they may
   * have run; streams that have begun are broken off.
   */
  async settleRequests(): Promise<void> {
    this.#openResponses.forEach((end) => end.abort());
    await this.#options.clock.sleep(ENDED_RESPONSE_MS);
    for (const response of this.#openResponses.keys()) {
      writeProblemReply(response, {
        status: 502,
        title: "may have run: this host stops",
      });
    }
  }

  /**
   * Handles a request until its response has been written or its connection closed.
   *
   * @param request - The request of the caller.
   * @param response - The response to the caller.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const end = new AbortController();
    this.#openResponses.set(response, end);
    // A disconnect of the caller is handled on the "close" event.
    response.on("error", () => undefined);
    try {
      await this.#handleCall(this.#createExchange(request, response, end));
    } catch (error) {
      this.#handleError(error, request, response);
    } finally {
      this.#openResponses.delete(response);
    }
  }

  async #handleCall(exchange: CallerExchange): Promise<void> {
    const { request, response } = exchange;
    const { isReady, getTable } = this.#options;
    const call = decodeIngressCall(request.method ?? "GET", request.url ?? "/");
    if (call.kind === "ready") {
      writeProblemReply(response, {
        status: isReady() ? 200 : 503,
        title: isReady() ? "ready" : "not ready",
      });
      return;
    }
    const table = getTable();
    if (table === undefined) {
      this.#options.logger.info("request-refused", {
        request: exchange.head.attemptId,
        reason: "no-configuration",
      });
      writeProblemReply(response, {
        status: 503,
        title: "this host knows no configuration yet",
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      });
      return;
    }
    if (call.kind !== "routed") {
      request.resume();
      await this.#handleLotCall(call, exchange);
      return;
    }
    await this.#handleRouted(exchange, table);
  }

  #createExchange(
    request: IncomingMessage,
    response: ServerResponse,
    end: AbortController,
  ): CallerExchange {
    return {
      request,
      response,
      head: decodeRequestHead(request.headers),
      arrivedAtMs: this.#options.clock.getMonotonicMs(),
      isForwarded: isForwardedCall(request.headers),
      endSignal: end.signal,
    };
  }

  async #handleLotCall(
    call: Exclude<IngressCall, { kind: "ready" | "routed" }>,
    exchange: CallerExchange,
  ): Promise<void> {
    const { lotRoutes, lotCallForwarder } = this.#options;
    if (await lotCallForwarder.forwardCall(exchange, call.lot)) {
      return;
    }
    switch (call.kind) {
      case "results":
        return await lotRoutes.handleResults(exchange, call);
      case "end":
        return await lotRoutes.handleEnd(exchange, call.lot);
      case "sample-body":
        return await lotRoutes.handleBody(exchange, call);
    }
  }

  async #handleRouted(
    exchange: CallerExchange,
    table: RouteTable,
  ): Promise<void> {
    const { request, response } = exchange;
    const { liveCalls, lotRoutes } = this.#options;
    const host = request.headers.host ?? "";
    const route = table.findRoute(host, request.url ?? "/");
    if (route === undefined) {
      request.resume();
      this.#options.logger.info("request-unrouted", {
        request: exchange.head.attemptId,
        host,
        path: request.url ?? "",
        configuration: table.version,
      });
      writeProblemReply(response, { status: 404, title: "no route" });
      return;
    }
    const { maxBodyBytes } = table.configuration.limits;
    const body = await readRequestBody(request, maxBodyBytes);
    if (body === undefined) {
      response.destroy();
      return;
    }
    const routed = { ...exchange, route, body };
    if (!canFinish(routed, this.#options)) {
      refuseLate(exchange, this.#options.logger);
      return;
    }
    await (route.kind === "rollout"
      ? lotRoutes.handleSubmission(routed)
      : liveCalls.handle(routed));
  }

  #handleError(
    error: unknown,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const isInput = error instanceof InputError;
    this.#options.logger.error("request-failed", error, {
      method: request.method ?? "",
      path: request.url ?? "",
    });
    const isTooLarge = isInput && error.key === "body";
    writeProblemReply(response, {
      status: isTooLarge ? 413 : isInput ? 400 : 500,
      title: isInput ? error.message : "internal error",
    });
  }
}
