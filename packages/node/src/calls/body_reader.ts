/**
 * Reads request bodies within a timeout, so that slow callers can't hold calls open.
 * @module
 */
import { DeadlineError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import type { z } from "zod";
import type { Exchange } from "../http/exchange.ts";
import { waitWithTimeout } from "./timeout.ts";

const BODY_TIMEOUT_MS = 15_000;

/** Options of {@link readJsonWithTimeout}. */
export interface BodyReaderOptions<T extends z.ZodType> {
  readonly schema: T;
  readonly maxBytes: number;
  readonly clock: Clock;
}

/**
 * Reads a JSON body and validates it against a schema. Throws a
 * `DeadlineError` if the body has not arrived completely within 15 s.
 *
 * @example
 * ```ts
 * const body = await readJsonWithTimeout(exchange, { schema, maxBytes, clock });
 * ```
 * @param exchange - The exchange whose request body is read.
 * @param options - The schema, the size limit and the clock.
 */
export function readJsonWithTimeout<T extends z.ZodType>(
  exchange: Exchange,
  options: BodyReaderOptions<T>,
): Promise<z.output<T>> {
  return waitWithTimeout(options.clock, {
    promise: exchange.readJson(options.schema, options.maxBytes),
    maxWaitMs: BODY_TIMEOUT_MS,
    createError: () =>
      new DeadlineError(
        "the request body did not arrive within the time limit",
      ),
  });
}
