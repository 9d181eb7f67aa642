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
import { decodeRequestHead } from "@briarhill/platform/ingress/request_head";
import type { StopWindow } from "@briarhill/routing/admission/stop_window";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { LotCallForwarder } from "../lots/lot_call_forwarder.ts";
import type { LotRoutes } from "../lots/lot_routes.ts";
import { dropHopHeaders, isForwardedCall } from "../peers/hop_headers.ts";
import type { CallerAdmission } from "../workspaces/caller_admission.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { writeProblemReply } from "./caller_reply.ts";
import { canFinish, refuseLate } from "./late_request.ts";
import type { LiveCalls } from "./live_calls.ts";
import { readRequestBody } from "./request_body.ts";

/** The retry delay that is reported while this host has no configuration yet, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** The time that handlers have to respond to requests that are ended, in milliseconds. */
const ENDED_RESPONSE_MS = 100;

/** Options of {@link Ingress}. */
export interface IngressOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getTable: () => RouteTable | undefined;
  readonly isReady: () => boolean;
  readonly stopWindow: StopWindow;
  readonly callerAdmission: CallerAdmission;
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
   * @param options - Whether another host has sent the request.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    options: { readonly isFromHost?: boolean } = {},
  ): Promise<void> {
    const end = new AbortController();
    this.#openResponses.set(response, end);
    // A disconnect of the caller is handled on the "close" event.
    response.on("error", () => undefined);
    try {
      const isForwarded = options.isFromHost === true &&
        isForwardedCall(request.headers);
      await this.#handleCall({
        request,
        response,
        head: decodeRequestHead(request.headers),
        rawHeaders: dropHopHeaders(request.rawHeaders),
        arrivedAtMs: this.#options.clock.getMonotonicMs(),
        isForwarded,
        endSignal: end.signal,
      });
    } catch (error) {
      this.#handleError(error, request, response);
    } finally {
      this.#openResponses.delete(response);
    }
  }

  async #handleCall(exchange: CallerExchange): Promise<void> {
    const { request, response } = exchange;
    const { isReady, getTable, callerAdmission } = this.#options;
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
      const identified = await callerAdmission.admit(exchange, () => false);
      if (identified !== undefined) {
        await this.#handleLotCall(call, identified);
      }
      return;
    }
    await this.#handleRouted(exchange, table);
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
    const { callerAdmission, getTable } = this.#options;
    const { request } = exchange;
    const host = request.headers.host ?? "";
    const path = request.url ?? "/";
    if (table.findRoute(host, path) === undefined) {
      this.#refuseUnrouted(exchange, table);
      return;
    }
    const identified = await callerAdmission.admit(
      exchange,
      (current) => current.findRoute(host, path)?.isPublic ?? false,
    );
    if (identified === undefined) {
      return;
    }
    // The configuration may have been read again.
    const current = getTable() ?? table;
    const route = current.findRoute(host, path, identified.workspace);
    if (route === undefined) {
      this.#refuseUnrouted(exchange, current);
      return;
    }
    await this.#handleBody(identified, {
      route,
      maxBodyBytes: current.configuration.limits.maxBodyBytes,
    });
  }

  async #handleBody(
    exchange: CallerExchange,
    { route, maxBodyBytes }: {
      readonly route: RouteStructure;
      readonly maxBodyBytes: number;
    },
  ): Promise<void> {
    const { request, response } = exchange;
    const { liveCalls, lotRoutes } = this.#options;
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

  #refuseUnrouted(
    { request, response, head }: CallerExchange,
    table: RouteTable,
  ): void {
    request.resume();
    this.#options.logger.info("request-unrouted", {
      request: head.attemptId,
      host: request.headers.host ?? "",
      path: request.url ?? "",
      configuration: table.version,
    });
    writeProblemReply(response, { status: 404, title: "no route" });
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
