/**
 * Sends requests to endpoints and reports to the guard how they ended.
 * @module
 */
import type { AttemptAnswer } from "../calls/call_outcome.ts";
import { isLost } from "../calls/endpoint_failure.ts";
import type { EndpointRequest } from "../calls/endpoint_request.ts";
import type { EndpointSender } from "../calls/endpoint_sender.ts";
import type { CrashGuard, GuardedRequest } from "./crash_guard.ts";

/** Options of {@link sendGuarded}. */
export interface GuardedSendOptions {
  /** The content of the caller's request; undefined if it is not guarded. */
  readonly guarded: GuardedRequest | undefined;
  readonly sender: EndpointSender;
  readonly crashGuard: CrashGuard;
}

/**
 * Sends a request. If its connection is lost, rejects once it is known whether the
 * endpoint has ended, so that the next attempt is decided by it.
 *
 * @example
 * ```ts
 * declare const request: EndpointRequest;
 * declare const options: GuardedSendOptions;
 *
 * const { answer } = await sendGuarded(request, options);
 * ```
 * @param request - The request to the endpoint.
 * @param options - The content of the caller's request, the sender and the guard.
 */
export async function sendGuarded(
  request: EndpointRequest,
  { guarded, sender, crashGuard }: GuardedSendOptions,
): Promise<AttemptAnswer> {
  if (guarded === undefined) {
    return await sender.send(request);
  }
  const attempt = crashGuard.createAttempt(guarded, request.endpoint);
  try {
    const attemptAnswer = await sender.send(request);
    const { isRefused } = attemptAnswer.answer;
    await crashGuard.settleAttempt(attempt, isRefused ? "not-run" : "answered");
    return attemptAnswer;
  } catch (error) {
    if (isLost(error) && !request.signal.aborted) {
      await crashGuard.settleAttempt(attempt, "lost", error.fault);
    }
    throw error;
  }
}
