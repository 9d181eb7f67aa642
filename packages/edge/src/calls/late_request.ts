/**
 * Refuses requests that arrive so late during a stop that they could not be finished.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { StopWindow } from "@briarhill/routing/admission/stop_window";
import { UNREACHED_REASON } from "@briarhill/routing/reach/call_paths";
import { encodeOutcome } from "../peers/hop_headers.ts";
import { writeProblemReply } from "./caller_reply.ts";
import type { CallerExchange, RoutedExchange } from "./caller_exchange.ts";

/** The retry delay of a refused request, in milliseconds; other hosts can take it at once. */
const STOPPING_RETRY_MS = 10;

/**
 * Returns whether this host can finish a request before it stops. Lots are kept by
 * the shared log, so that no stop interrupts them.
 *
 * @example
 * ```ts
 * declare const exchange: RoutedExchange;
 * declare const options: { readonly clock: Clock; readonly stopWindow: StopWindow };
 *
 * const isTaken = canFinish(exchange, options);
 * ```
 * @param exchange - The request and its route.
 * @param options - The clock and the phases of the stop.
 */
export function canFinish(
  { head, route, arrivedAtMs }: RoutedExchange,
  options: { readonly clock: Clock; readonly stopWindow: StopWindow },
): boolean {
  const { clock, stopWindow } = options;
  // The timeout of a route of streams applies to the first event.
  const lastsMs = route.kind === "stream"
    ? head.deadlineMs
    : Math.min(head.deadlineMs, route.timeoutMs);
  return route.kind === "rollout" ||
    stopWindow.canTake(clock.getMonotonicMs(), arrivedAtMs + lastsMs);
}

/**
 * Refuses a request that this host can't finish before it stops.
 *
 * @example
 * ```ts
 * declare const exchange: CallerExchange;
 * declare const logger: Logger;
 *
 * refuseLate(exchange, logger);
 * ```
 * @param exchange - The request and the response to write.
 * @param logger - Logs the refusal.
 */
export function refuseLate(
  { response, head, isForwarded }: CallerExchange,
  logger: Logger,
): void {
  const reason = "stopping";
  logger.info("request-refused", { request: head.attemptId, reason });
  if (isForwarded) {
    // The host that has passed the request on tries another one.
    const outcome = { kind: "refused", reason: UNREACHED_REASON } as const;
    response.setHeader(...encodeOutcome(outcome));
  }
  writeProblemReply(response, {
    status: 503,
    title: "not run: this host stops",
    retryAfterMs: STOPPING_RETRY_MS,
  });
}
