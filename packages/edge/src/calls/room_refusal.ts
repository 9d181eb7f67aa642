/**
 * Refuses requests while this host holds as much for its clients as it may.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import { UNREACHED_REASON } from "@briarhill/routing/reach/call_paths";
import { encodeOutcome } from "../peers/hop_headers.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { writeProblemReply } from "./caller_reply.ts";

/** The retry delay of a refused request, in milliseconds; other hosts may take it at once. */
const NO_ROOM_RETRY_MS = 250;

/**
 * Refuses a request that this host has no room for. What is left of its body is
 * discarded, so that the client can read the response.
 *
 * @example
 * ```ts
 * declare const exchange: CallerExchange;
 * declare const logger: Logger;
 *
 * refuseRoom(exchange, logger);
 * ```
 * @param exchange - The request and the response to write.
 * @param logger - Logs the refusal.
 */
export function refuseRoom(
  { response, head, isForwarded }: CallerExchange,
  logger: Logger,
): void {
  const reason = "no-room";
  logger.info("request-refused", { request: head.attemptId, reason });
  if (isForwarded && !response.headersSent) {
    // The host that has passed the request on tries another one.
    const outcome = { kind: "refused", reason: UNREACHED_REASON } as const;
    response.setHeader(...encodeOutcome(outcome));
  }
  writeProblemReply(response, {
    status: 503,
    title: "not run: this host has no room for it",
    retryAfterMs: NO_ROOM_RETRY_MS,
  });
}
