/**
 * Sends the answers of plain services to their callers.
 * @module
 */
import { DeadlineError } from "@briarhill/common/errors/errors";
import type { ServiceResponse } from "@briarhill/ports/service/service";
import { pipeline } from "node:stream/promises";
import type { Exchange } from "../http/exchange.ts";
import { toForwardedHeaders } from "./forwarded_headers.ts";

/** An answer, and when to give it up. */
export interface ServiceAnswer {
  readonly response: ServiceResponse;
  /** Aborts at the deadline. */
  readonly signal: AbortSignal;
}

/**
 * Sends the answer of a service on to its caller; one that does not read it is
 * cut off at the deadline.
 *
 * @example
 * ```ts
 * await sendAnswer(exchange, { response, signal });
 * ```
 * @param exchange - The caller's request.
 * @param answer - The answer, and when to give it up.
 */
export async function sendAnswer(
  exchange: Exchange,
  { response, signal }: ServiceAnswer,
): Promise<void> {
  exchange.response.writeHead(
    response.status,
    toForwardedHeaders(response.headers),
  );
  try {
    await pipeline(response.body, exchange.response, { signal });
  } catch (cause) {
    if (!signal.aborted || exchange.signal.aborted) {
      throw cause;
    }
    throw new DeadlineError("the deadline passed before the answer was read", {
      cause,
      props: { outcome: "ran" },
    });
  }
}
