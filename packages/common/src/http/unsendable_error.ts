/**
 * Creates the errors of requests that can't be sent by the protocol.
 * @module
 */
import { createPortError } from "../errors/port_error.ts";

/**
 * Returns the error of a request that the runtime does not create, as its path or a
 * header holds characters that they can't hold; returns any other error unchanged.
 *
 * @example
 * ```ts
 * const error = createUnsendableError(new TypeError("invalid path"), "store");
 * ```
 * @param error - The error of the runtime.
 * @param port - The name of the external system, such as "store".
 */
export function createUnsendableError(error: unknown, port: string): unknown {
  return error instanceof TypeError
    ? createPortError(`${port}: can't send a request: ${error.message}`, {
      cause: error,
      port,
      operation: "send",
      fault: "unsendable",
      outcome: "not-run",
    })
    : error;
}
