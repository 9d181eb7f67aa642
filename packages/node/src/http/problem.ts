/**
 * Converts errors to problem+json. Each problem states whether the request may
 * have run, so that the caller can decide on a retry.
 * @module
 */
import {
  AuthenticationError,
  BriarhillError,
  DeadlineError,
  InputError,
  LotConflictError,
  NotFoundError,
  PermissionError,
  PortError,
  RefusedError,
  RepeatedCallError,
  RevisionConflictError,
} from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";

/** An error as it is sent to callers. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly outcome: Outcome;
  readonly retryAfterMs?: number;
  /** The same error in the format of the OpenAI API. */
  readonly error: ProblemError;
}

/** An error in the format of the OpenAI API. */
export interface ProblemError {
  readonly message: string;
  readonly type: string;
  readonly code: string;
  readonly param: string | null;
}

/** Reasons of refusals that don't result from the caller's own open or queued calls. */
const UNAVAILABLE_REASONS: readonly string[] = [
  "no-engine",
  "no-endpoint",
  "no-capacity",
  "claim-unsettled",
];
const UNAVAILABLE_STATUS = 503;

type ErrorClass = new (...args: never[]) => Error;

const STATUS_BY_CLASS: readonly (readonly [ErrorClass, number, string])[] = [
  [InputError, 400, "invalid-request"],
  [AuthenticationError, 401, "unauthenticated"],
  [PermissionError, 403, "not-allowed"],
  [NotFoundError, 404, "not-found"],
  [LotConflictError, 409, "lot-conflict"],
  [RepeatedCallError, 409, "repeated-call"],
  [RevisionConflictError, 409, "revision-conflict"],
  [RefusedError, 429, "refused"],
  [DeadlineError, 504, "deadline"],
  [PortError, 502, "endpoint-fault"],
];

/**
 * Converts an error to the problem that is sent to the caller. For internal
 * errors, it omits the details and states the outcome as unknown.
 *
 * @example
 * ```ts
 * const problem = toProblem(new NotFoundError('no route for "GET /names"'));
 * ```
 * @param error - The error that ended the request.
 */
export function toProblem(error: unknown): Problem {
  for (const [errorClass, status, type] of STATUS_BY_CLASS) {
    if (error instanceof errorClass && error instanceof BriarhillError) {
      return buildProblem(error, { status, type });
    }
  }
  const detail = "the request failed with an internal error";
  return {
    type: "urn:briarhill:internal",
    title: "internal",
    status: 500,
    detail,
    outcome: "unknown",
    error: buildError("internal", detail),
  };
}

function buildError(type: string, message: string): ProblemError {
  return { message, type, code: type, param: null };
}

function buildProblem(
  error: BriarhillError,
  kind: { readonly status: number; readonly type: string },
): Problem {
  const retryAfterMs =
    error instanceof RefusedError || error instanceof PortError
      ? error.retryAfterMs
      : 0;
  const isUnavailable = error instanceof RefusedError &&
    UNAVAILABLE_REASONS.includes(error.reason);
  return {
    type: `urn:briarhill:${kind.type}`,
    title: kind.type,
    status: isUnavailable ? UNAVAILABLE_STATUS : kind.status,
    detail: error.message,
    outcome: error.outcome,
    error: buildError(kind.type, error.message),
    ...(retryAfterMs > 0 ? { retryAfterMs } : {}),
  };
}
