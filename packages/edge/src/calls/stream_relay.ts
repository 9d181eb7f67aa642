/**
 * Lets another host run a stream that this host can't run, and writes the failure
 * of a stream to its caller.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { GuardedRequest } from "../crashes/crash_guard.ts";
import { decodeAttempts, encodeOutcome } from "../peers/hop_headers.ts";
import type { CallRelay } from "../reach/call_relay.ts";
import { writeCallFailure } from "./call_failure.ts";
import type { RelayedAdmission } from "./call_outcome.ts";
import type { RoutedExchange } from "./caller_exchange.ts";
import { streamBody, type StreamOutcome } from "./stream_call.ts";

/** The retry delay of a stream that no host could run, in milliseconds: the interval of probes. */
const UNREACHED_RETRY_MS = 300;

/** Why no endpoint has run a stream. */
export interface StreamRejection {
  readonly reason: string;
  /** The time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** The outcome of a stream. */
export interface StreamReport {
  readonly outcome: StreamOutcome;
  readonly rejection?: StreamRejection | undefined;
}

/** Options of {@link forwardStream}. */
export interface StreamForwardOptions {
  readonly clock: Clock;
  readonly relay: CallRelay;
  readonly admission: RelayedAdmission;
  /** The number of attempts that the other host may make. */
  readonly attempts: number;
  readonly signal: AbortSignal;
}

/**
 * Lets another host run a stream, and relays its response to the caller.
 *
 * @example
 * ```ts
 * declare const exchange: RoutedExchange;
 * declare const options: StreamForwardOptions;
 *
 * const { outcome } = await forwardStream(exchange, options);
 * ```
 * @param exchange - The request, its route and the response to write.
 * @param options - The relay, the hosts and the number of attempts.
 */
export async function forwardStream(
  exchange: RoutedExchange,
  options: StreamForwardOptions,
): Promise<StreamReport> {
  const { clock, relay, admission, attempts, signal } = options;
  const { response, head, arrivedAtMs } = exchange;
  const deadlineMs = arrivedAtMs + head.deadlineMs;
  const { service, hosts } = admission;
  const reply = await relay.openRequest({
    ...createGuarded(exchange),
    service,
    deadlineMs,
    attempts,
    signal,
  }, hosts);
  if (reply.kind === "unknown") {
    return { outcome: "unknown" };
  }
  if (reply.kind === "not-run") {
    const { reason, retryAfterMs = UNREACHED_RETRY_MS } = reply;
    return { outcome: "not-run", rejection: { reason, retryAfterMs } };
  }
  const { stream } = reply.response;
  const remainingMs = Math.max(1, deadlineMs - clock.getMonotonicMs());
  const timer = clock.setTimer(remainingMs, () => stream.destroy());
  const outcome = await streamBody(response, reply.response)
    .finally(() => timer.cancel());
  return { outcome };
}

/**
 * Returns the number of attempts that may be made at a stream here.
 *
 * @example
 * ```ts
 * declare const exchange: RoutedExchange;
 *
 * const maxAttempts = getMaxAttempts(exchange);
 * ```
 * @param exchange - The request and its route.
 */
export function getMaxAttempts(
  { route, request, isForwarded }: RoutedExchange,
): number {
  return isForwarded
    ? Math.min(route.maxAttempts, decodeAttempts(request.headers))
    : route.maxAttempts;
}

/**
 * Returns the content of a stream's request.
 *
 * @example
 * ```ts
 * declare const exchange: RoutedExchange;
 *
 * const { attemptId } = createGuarded(exchange);
 * ```
 * @param exchange - The request.
 */
export function createGuarded(
  { request, rawHeaders, head, body }: RoutedExchange,
): GuardedRequest {
  return {
    attemptId: head.attemptId,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    rawHeaders,
    body,
  };
}

/**
 * Writes the response for a stream that no endpoint has begun.
 *
 * @example
 * ```ts
 * declare const exchange: RoutedExchange;
 *
 * writeStreamFailure(exchange, { outcome: "unknown" });
 * ```
 * @param exchange - The request and the response to write.
 * @param report - Whether an endpoint may have run the stream, and why none has.
 */
export function writeStreamFailure(
  { response, isForwarded }: RoutedExchange,
  { outcome, rejection }: StreamReport,
): void {
  const { reason, retryAfterMs } = rejection ??
    { reason: "stream", retryAfterMs: undefined };
  const failure = outcome === "not-run"
    ? { kind: "refused", reason, retryAfterMs } as const
    : { kind: "failed", reason } as const;
  if (isForwarded && !response.headersSent) {
    response.setHeader(...encodeOutcome(failure));
  }
  writeCallFailure(response, failure);
}
