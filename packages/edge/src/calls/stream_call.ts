/**
 * Relays the response of one endpoint to the caller as it arrives. A stream must
 * not run twice: another endpoint may be tried only while none has run it.
 * @module
 */
import { abortResponse } from "@briarhill/common/http/abort_response";
import { drainBody } from "@briarhill/common/http/body_reader";
import {
  getBreakCause,
  isComplete,
} from "@briarhill/common/http/response_completeness";
import type { HttpResponseHead } from "@briarhill/common/http/http_exchange";
import { PortError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import type { Logger } from "@briarhill/common/logging/logger";
import { encodeRelayedHeaders } from "@briarhill/platform/ingress/request_head";
import type { ServerResponse } from "node:http";
import type { EndpointRequest } from "./endpoint_request.ts";
import type { EndpointSender } from "./endpoint_sender.ts";

/** The outcome of a relayed response. */
export type StreamOutcome = "whole" | "cut" | "not-run" | "unknown";

/** A request for a stream, and what is needed to send it. */
export interface StreamCall {
  readonly sender: EndpointSender;
  readonly request: EndpointRequest;
  readonly logger: Logger;
  readonly clock: Clock;
  /** The time until the caller's deadline for the complete response, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Sends a request to one endpoint and relays the response to the caller.
 *
 * @example
 * ```ts
 * declare const sender: EndpointSender;
 * declare const request: EndpointRequest;
 * declare const logger: Logger;
 * declare const clock: Clock;
 * declare const response: import("node:http").ServerResponse;
 *
 * const outcome = await streamResponse(response, {
 *   sender,
 *   request,
 *   logger,
 *   clock,
 *   remainingMs: 2_000,
 * });
 * ```
 * @param response - The response to the caller.
 * @param call - The sender, the request, its remaining time, and the logger of failed attempts.
 */
export async function streamResponse(
  response: ServerResponse,
  call: StreamCall,
): Promise<StreamOutcome> {
  try {
    return await call.sender.run(call.request, async ({ head, answer }) => {
      if (answer.isRefused) {
        drainBody(head.stream);
        return "not-run";
      }
      return await streamInTime(response, head, call);
    });
  } catch (error) {
    if (!(error instanceof PortError)) {
      throw error;
    }
    const outcome = error.outcome === "not-run" ? "not-run" : "unknown";
    call.logger.warn("stream-attempt-failed", {
      request: call.request.attemptId,
      endpoint: call.request.endpoint.id,
      fault: error.fault,
      outcome,
    });
    return outcome;
  }
}

async function streamInTime(
  response: ServerResponse,
  head: HttpResponseHead,
  { clock, remainingMs, logger, request }: StreamCall,
): Promise<StreamOutcome> {
  const fields = { request: request.attemptId, endpoint: request.endpoint.id };
  const timer = clock.setTimer(remainingMs, () => {
    logger.warn("stream-past-deadline", fields);
    head.stream.destroy();
  });
  const outcome = await streamBody(response, head);
  timer.cancel();
  const cause = getBreakCause(head.stream);
  if (cause !== undefined) {
    logger.warn("stream-malformed", { ...fields, reason: cause.message });
  }
  return outcome;
}

/**
 * Relays a response to the caller as it arrives.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 * declare const head: HttpResponseHead;
 *
 * const outcome = await streamBody(response, head);
 * ```
 * @param response - The response to the caller.
 * @param head - The response to relay.
 */
export function streamBody(
  response: ServerResponse,
  head: HttpResponseHead,
): Promise<StreamOutcome> {
  response.writeHead(
    head.status,
    encodeRelayedHeaders(head.rawHeaders) as unknown as Record<string, string>,
  );
  response.flushHeaders();
  return new Promise((resolve) => {
    head.stream.on("data", (chunk) => {
      if (!response.write(chunk)) {
        head.stream.pause();
        response.once("drain", () => head.stream.resume());
      }
    });
    head.stream.on("close", () => {
      if (isComplete(head.stream)) {
        response.end();
        resolve("whole");
        return;
      }
      abortResponse(response);
      resolve("cut");
    });
  });
}
