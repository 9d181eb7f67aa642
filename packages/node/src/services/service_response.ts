/**
 * Forwards the responses of services to their callers.
 * @module
 */
import { abortResponse } from "@briarhill/common/http/abort_response";
import { DeadlineError } from "@briarhill/common/errors/errors";
import type { ServiceResponse } from "@briarhill/ports/service/service";
import { pipeline } from "node:stream/promises";
import type { Exchange } from "../http/exchange.ts";
import { toForwardedHeaders } from "./forwarded_headers.ts";

/** Options of {@link sendResponse}. */
export interface ServiceResponseOptions {
  readonly response: ServiceResponse;
  /** Aborts at the deadline. */
  readonly signal: AbortSignal;
}

/**
 * Forwards the response of a service to the caller. The connection of a caller
 * that has not read the response by the deadline is closed.
 *
 * @example
 * ```ts
 * await sendResponse(exchange, { response, signal });
 * ```
 * @param exchange - The exchange with the caller.
 * @param options - The response and the signal of the deadline.
 */
export async function sendResponse(
  exchange: Exchange,
  { response, signal }: ServiceResponseOptions,
): Promise<void> {
  exchange.response.writeHead(
    response.status,
    toForwardedHeaders(response.headers),
  );
  // Comes before the pipeline closes the connection.
  const abort = () => abortResponse(exchange.response);
  signal.addEventListener("abort", abort, { once: true });
  try {
    await pipeline(
      readOrAbort(response.body, abort),
      exchange.response,
      { signal },
    );
  } catch (cause) {
    if (!signal.aborted || exchange.signal.aborted) {
      throw cause;
    }
    throw new DeadlineError(
      "the deadline passed before the caller had read the response",
      {
        cause,
        props: { outcome: "ran" },
      },
    );
  } finally {
    signal.removeEventListener("abort", abort);
  }
}

/** A body that fails must not leave a response that looks complete. */
async function* readOrAbort(
  body: AsyncIterable<Uint8Array>,
  abort: () => void,
): AsyncIterable<Uint8Array> {
  try {
    yield* body;
  } catch (error) {
    abort();
    throw error;
  }
}
