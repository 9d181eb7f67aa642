/**
 * Writes responses that never end, as a faulty endpoint does until its caller
 * closes the connection.
 * @module
 */
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** The part of a response that is repeated without end. */
export interface EndlessPart {
  /** Returns the part with a number, which counts from 0. */
  readonly format: (number: number) => string;
  /** The pause after each part, in milliseconds. */
  readonly pauseMs: number;
}

/**
 * Writes the parts of a response until its connection is closed.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 *
 * await writeEndless(response, { format: () => "x", pauseMs: 10 });
 * ```
 * @param response - The response, whose head has been written.
 * @param part - The part that is repeated.
 */
export async function writeEndless(
  response: ServerResponse,
  { format, pauseMs }: EndlessPart,
): Promise<void> {
  for (let number = 0; !response.destroyed; number++) {
    if (!response.writableNeedDrain) {
      response.write(format(number));
    }
    await sleep(pauseMs);
  }
}
