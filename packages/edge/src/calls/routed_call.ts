/**
 * Reads the body of a request that matched a route, as far as there is room for it,
 * and hands the request to the handler of its kind.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { StopWindow } from "@briarhill/routing/admission/stop_window";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { LotRoutes } from "../lots/lot_routes.ts";
import type { HostMemory } from "../memory/host_memory.ts";
import type { CallerExchange, RoutedExchange } from "./caller_exchange.ts";
import { canFinish, refuseLate } from "./late_request.ts";
import type { LiveCalls } from "./live_calls.ts";
import { readRequestBody } from "./request_body.ts";
import { refuseRoom } from "./room_refusal.ts";

/** The components that handle requests that matched a route. */
export interface RoutedCallOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly memory: HostMemory;
  /** The size of a lot that the shared log can't hold, in bytes. */
  readonly maxLotBytes: number;
  readonly stopWindow: StopWindow;
  readonly liveCalls: LiveCalls;
  readonly lotRoutes: LotRoutes;
}

/**
 * Handles a request that matched a route until its response has been written or
 * its connection closed.
 *
 * @example
 * ```ts
 * declare const exchange: CallerExchange;
 * declare const route: RouteStructure;
 * declare const options: RoutedCallOptions;
 *
 * await handleRoutedCall(exchange, { ...options, route, maxBodyBytes: 1_000 });
 * ```
 * @param exchange - The request and the response to write.
 * @param options - The route, the maximum size of a body, and the components.
 */
export async function handleRoutedCall(
  exchange: CallerExchange,
  options: RoutedCallOptions & {
    readonly route: RouteStructure;
    readonly maxBodyBytes: number;
  },
): Promise<void> {
  const { route, maxBodyBytes, maxLotBytes, memory } = options;
  const result = await readRequestBody(exchange.request, {
    maxBytes: route.kind === "rollout"
      ? Math.min(maxBodyBytes, maxLotBytes)
      : maxBodyBytes,
    memory,
  });
  if (result.kind !== "complete") {
    result.kind === "closed"
      ? exchange.response.destroy()
      : refuseRoom(exchange, options.logger);
    return;
  }
  const { body, holding } = result;
  await runRouted({ ...exchange, route, body }, options)
    .finally(() => holding.release());
}

async function runRouted(
  exchange: RoutedExchange,
  options: RoutedCallOptions,
): Promise<void> {
  if (!canFinish(exchange, options)) {
    refuseLate(exchange, options.logger);
    return;
  }
  await (exchange.route.kind === "rollout"
    ? options.lotRoutes.handleSubmission(exchange)
    : options.liveCalls.handle(exchange));
}
