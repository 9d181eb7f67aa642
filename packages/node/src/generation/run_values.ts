/**
 * Builds the engine requests, lifecycle events, timeouts and errors of a
 * generation.
 * @module
 */
import {
  BriarhillError,
  DeadlineError,
  PortError,
  RefusedError,
} from "@briarhill/common/errors/errors";
import type { GenerateRequest } from "@briarhill/ports/engine/engine";
import type {
  RequestCommand,
  RequestEvent,
} from "@briarhill/routing/requests/request_command";
import type { StreamProgress } from "@briarhill/routing/requests/stream_progress";
import type { GenerationRequest } from "./generator.ts";

/** Contracts set priorities up to 100, so this ranks every live call above all training. */
const LIVE_PRIORITY_BASE = 101;
const RETRY_AFTER_MS = 1000;
const FIRST_CHUNK_TIMEOUT_MS = 5000;
/** Tokens arrive every few milliseconds once a stream has started. */
const CHUNK_TIMEOUT_MS = 2000;
/** Longer than for live calls, as engines pause training for live calls without a failure. */
const ROLLOUT_CHUNK_TIMEOUT_MS = 20_000;

/**
 * Builds the request of a dial. Text that the caller has already received is
 * sent as the prefix, so that the engine continues after it even if it has lost
 * the stream.
 *
 * @example
 * ```ts
 * const request = buildEngineRequest(generation, progress);
 * ```
 * @param generation - The generation.
 * @param progress - The part of the response received so far.
 */
export function buildEngineRequest(
  generation: GenerationRequest,
  progress: StreamProgress,
): GenerateRequest {
  const { request, requestClass } = generation;
  const priority = requestClass === "rollout"
    ? request.priority
    : LIVE_PRIORITY_BASE + request.priority;
  if (progress.next === request.fromToken) {
    return { ...request, priority };
  }
  const prefix = (request.prefix ?? "") + progress.getText();
  return { ...request, priority, fromToken: progress.next, prefix };
}

/**
 * Builds the lifecycle event of a failed dial.
 *
 * @example
 * ```ts
 * lifecycle.handle(buildBrokenEvent(error, { offset: 12, canRetry: true }));
 * ```
 * @param error - The error that ended the dial.
 * @param options - The number of tokens so far, and whether the retry budget allows another attempt.
 */
export function buildBrokenEvent(
  error: unknown,
  options: { readonly offset: number; readonly canRetry: boolean },
): RequestEvent {
  return {
    type: "broken",
    fault: error instanceof PortError ? error.fault : "reset",
    outcome: error instanceof BriarhillError ? error.outcome : "unknown",
    ...options,
  };
}

/**
 * Creates the error of a failed generation.
 *
 * @example
 * ```ts
 * throw createGenerationError(command, lastError);
 * ```
 * @param failure - The reason of the failure, and whether the request may have run.
 * @param cause - The error of the last dial, if any.
 */
export function createGenerationError(
  failure: Extract<RequestCommand, { readonly kind: "fail" }>,
  cause: unknown,
): Error {
  const { outcome, reason } = failure;
  const options = cause === undefined ? {} : { cause };
  if (reason === "late") {
    return new DeadlineError(
      "deadline passed before the response was complete",
      {
        ...options,
        props: { outcome },
      },
    );
  }
  if (reason === "cancelled") {
    return new PortError("generation was cancelled", {
      ...options,
      props: { port: "engine", fault: "cancelled", outcome },
    });
  }
  if (outcome === "not-run") {
    return new RefusedError("no engine accepted the request", {
      ...options,
      props: { retryAfterMs: RETRY_AFTER_MS, reason: "no-engine" },
    });
  }
  const fault = cause instanceof PortError ? cause.fault : "reset";
  return new PortError("response stream failed and could not be resumed", {
    ...options,
    props: { port: "engine", operation: "generate", fault, outcome },
  });
}

/**
 * Returns the timeout for receiving the next chunk.
 *
 * @example
 * ```ts
 * const timeoutMs = getReceiveTimeoutMs(generation, true);
 * ```
 * @param generation - The generation.
 * @param hasChunk - Whether the dial has received a chunk.
 */
export function getReceiveTimeoutMs(
  generation: GenerationRequest,
  hasChunk: boolean,
): number {
  if (generation.requestClass === "rollout") {
    return ROLLOUT_CHUNK_TIMEOUT_MS;
  }
  return hasChunk ? CHUNK_TIMEOUT_MS : FIRST_CHUNK_TIMEOUT_MS;
}

/**
 * Creates the error of a stream whose next chunk did not arrive in time.
 *
 * @example
 * ```ts
 * dial.abort(createTimeoutError(generation, 12));
 * ```
 * @param generation - The generation.
 * @param tokens - The number of tokens received so far.
 */
export function createTimeoutError(
  generation: GenerationRequest,
  tokens: number,
): Error {
  const { requestId } = generation.request;
  return new PortError(
    `request "${requestId}" received no chunk within the receive timeout`,
    {
      props: {
        port: "engine",
        operation: "generate",
        fault: "silent",
        outcome: tokens > 0 ? "ran" : "unknown",
      },
    },
  );
}

/**
 * Creates the error of a stream that ended before its last chunk.
 *
 * @example
 * ```ts
 * throw createIncompleteError();
 * ```
 */
export function createIncompleteError(): Error {
  return new PortError("upstream stream ended without a finish reason", {
    props: { port: "engine", fault: "incomplete", outcome: "ran" },
  });
}

/**
 * Creates the refusal of a request that no engine can currently serve.
 *
 * @example
 * ```ts
 * throw createNoEngineError(generation);
 * ```
 * @param generation - The generation.
 */
export function createNoEngineError(generation: GenerationRequest): Error {
  const { model } = generation.request;
  return new RefusedError(`no available engine serves model "${model}"`, {
    props: { retryAfterMs: RETRY_AFTER_MS, reason: "no-engine" },
  });
}
