/**
 * How far one call over HTTP has come, and what its failure therefore means.
 * @module
 */
import { PortError, type PortFault } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";

const SILENT_CODES: readonly string[] = [
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

/** The progress of one call. */
export class CallProgress {
  readonly #port: string;
  readonly #operation: string;
  #outcome: Outcome = "not-run";

  constructor(port: string, operation: string) {
    this.#port = port;
    this.#operation = operation;
  }

  /** Records that bytes of the request may have left. */
  recordSent(): void {
    this.#outcome = "unknown";
  }

  /** Records that the head of an answer has arrived. */
  recordReply(): void {
    this.#outcome = "ran";
  }

  /**
   * Returns the typed error for a failure of the connection; errors that are
   * typed already stay as they are.
   *
   * @param error - What was caught.
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
    const { code, name } = toCoded(error);
    if (name === "AbortError" || name === "TimeoutError") {
      return "cancelled";
    }
    if (SILENT_CODES.includes(code)) {
      return "silent";
    }
    if (this.#outcome === "not-run" && REFUSED_CODES.includes(code)) {
      return "refused";
    }
    return name === "HTTPParserError" ? "malformed" : "reset";
  }
}

function toCoded(
  error: unknown,
): { readonly code: string; readonly name: string } {
  const { code, name } = (error ?? {}) as { code?: unknown; name?: unknown };
  return {
    code: typeof code === "string" ? code : "",
    name: typeof name === "string" ? name : "",
  };
}
