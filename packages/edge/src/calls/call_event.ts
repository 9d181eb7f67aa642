/**
 * What happens to a forwarded request while it waits.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { HttpResponse } from "@briarhill/common/http/http_exchange";
import type { AttemptResult } from "@briarhill/routing/attempts/attempt_plan";
import type { RelayReply } from "../reach/relay_reply.ts";
import type { AttemptAdmission, AttemptAnswer } from "./call_outcome.ts";

const FIRST_SERVER_ERROR_STATUS = 500;

/** What happens to a forwarded request while it waits. */
export type CallEvent =
  | { readonly kind: "pause" | "deadline" | "cancelled" }
  | {
    readonly kind: "attempt";
    readonly number: number;
    readonly endpoint: string;
    readonly answer?: AttemptAnswer;
    readonly error?: unknown;
  }
  | {
    readonly kind: "relayed";
    readonly number: number;
    readonly reply: RelayReply<HttpResponse>;
  }
  | {
    /** The attempt got no endpoint and was not sent. */
    readonly kind: "unsent";
    readonly number: number;
    readonly isHedge: boolean;
    readonly admission: Exclude<
      AttemptAdmission,
      { kind: "admitted" | "relayed" }
    >;
  };

/**
 * Returns how an attempt ended.
 *
 * @example
 * ```ts
 * const { kind } = getAttemptResult({ kind: "attempt", number: 0, endpoint: "i-1" });
 * ```
 * @param event - The end of the attempt.
 */
export function getAttemptResult(
  { answer, error }: Extract<CallEvent, { kind: "attempt" }>,
): AttemptResult {
  if (answer === undefined) {
    const isNotRun = error instanceof PortError && error.outcome === "not-run";
    const reason = error instanceof PortError ? error.fault : "fault";
    return { kind: isNotRun ? "not-run" : "lost", reason };
  }
  const { isRefused, isOtherEndpoint } = answer.answer;
  if (isRefused) {
    return {
      kind: "not-run",
      reason: isOtherEndpoint ? "other-endpoint" : "full",
    };
  }
  const isFailure = answer.httpAnswer.status >= FIRST_SERVER_ERROR_STATUS;
  return { kind: "answered", isFailure };
}
