/**
 * Tracks the progress of one HTTP call to derive the outcome of a failure. The
 * outcome must be "not-run" only while no byte of the request can have been
 * sent.
 * @module
 */
import {
  PortError,
  type PortFault,
  ResponseSyntaxError,
} from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";

const TIMEOUT_CODES: readonly string[] = [
  "UND_ERR_CONNECT_TIMEOUT",
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
  "ETIMEDOUT",
];
const REFUSED_CODES: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CLOSED",
];

/** Tracks the progress of one call and creates the error for its failure. */
export class CallProgress {
  readonly #port: string;
  readonly #operation: string;
  #outcome: Outcome = "not-run";

  constructor(port: string, operation: string) {
    this.#port = port;
    this.#operation = operation;
  }

  /** Records that bytes of the request may have been sent. */
  recordSent(): void {
    this.#outcome = "unknown";
  }

  /** Records that the head of the response has been received. */
  recordResponse(): void {
    this.#outcome = "ran";
  }

  /**
   * Returns a {@link PortError} for a connection failure; returns an error that
   * already is a {@link PortError} unchanged.
   *
   * @param error - The caught error.
   */
  createError(error: unknown): PortError {
    if (error instanceof PortError) {
      return error;
    }
    const fault = this.#getFault(error);
    return new PortError(
      `${this.#port} "${this.#operation}" failed: ${fault}`,
      {
        cause: error,
        props: {
          port: this.#port,
          operation: this.#operation,
          fault,
          outcome: this.#outcome,
        },
      },
    );
  }

  #getFault(error: unknown): PortFault {
    const { code, name } = toCodeAndName(error);
    if (name === "AbortError" || name === "TimeoutError") {
      return "cancelled";
    }
    if (TIMEOUT_CODES.includes(code)) {
      return "silent";
    }
    if (this.#outcome === "not-run" && REFUSED_CODES.includes(code)) {
      return "refused";
    }
    const isMalformed = name === "HTTPParserError" ||
      error instanceof ResponseSyntaxError;
    return isMalformed ? "malformed" : "reset";
  }
}

function toCodeAndName(
  error: unknown,
): { readonly code: string; readonly name: string } {
  const { code, name } = (error ?? {}) as { code?: unknown; name?: unknown };
  return {
    code: typeof code === "string" ? code : "",
    name: typeof name === "string" ? name : "",
  };
}
