/**
 * Aborts a request that times out, is cancelled or gets informational responses
 * without end, and turns its failure into an error. The outcome must be "not-run"
 * only if no byte of the request can have reached the server.
 * @module
 */
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { PortError, PortFault } from "../errors/errors.ts";
import { createPortError } from "../errors/port_error.ts";
import type { HttpRequest } from "./http_exchange.ts";

/** The maximum number of informational responses (1xx) to one request. */
const MAX_INFORMATIONAL_RESPONSES = 16;

/** Options of {@link RequestWatch}. */
export interface RequestWatchOptions {
  /** The name of the external system in errors, such as "store". */
  readonly port: string;
  /** The timeout for opening a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
}

/** Aborts a request that gets no response in time. */
export class RequestWatch {
  readonly #outgoing: ClientRequest;
  readonly #exchange: HttpRequest;
  readonly #options: RequestWatchOptions;
  readonly #connectTimer: NodeJS.Timeout;
  readonly #headTimer: NodeJS.Timeout;
  #isConnected = false;
  #fault: PortFault | undefined;
  #cause: Error | undefined;
  #informationalResponses = 0;

  constructor(
    outgoing: ClientRequest,
    exchange: HttpRequest,
    options: RequestWatchOptions,
  ) {
    this.#outgoing = outgoing;
    this.#exchange = exchange;
    this.#options = options;
    this.#connectTimer = setTimeout(
      () => this.abort("refused"),
      options.connectTimeoutMs,
    );
    this.#headTimer = setTimeout(
      () => this.abort("silent"),
      exchange.headTimeoutMs,
    );
    this.#startListening();
  }

  /** Ends the timeouts, once the response head has arrived or the request has failed. */
  clear(): void {
    clearTimeout(this.#connectTimer);
    clearTimeout(this.#headTimer);
  }

  /**
   * Closes the connection of the request.
   *
   * @param reason - The fault that the error names, unless there was one before.
   * @param cause - The error that has shown the fault, if any.
   */
  abort(reason: PortFault, cause?: Error): void {
    this.#cause ??= cause;
    this.#fault ??= reason;
    this.#outgoing.destroy();
  }

  /**
   * Creates the error for the failed request.
   *
   * @param error - The error that the request has reported, if any.
   */
  createError(error: unknown): PortError {
    const { port } = this.#options;
    const { path } = this.#exchange;
    const fault = this.#fault ?? (this.#isConnected ? "reset" : "refused");
    const detail = this.#cause === undefined ? "" : `: ${this.#cause.message}`;
    return createPortError(`${port} ${path} failed: ${fault}${detail}`, {
      cause: this.#cause ?? error,
      port,
      operation: path,
      fault,
      outcome: this.#isConnected ? "unknown" : "not-run",
    });
  }

  #startListening(): void {
    const { signal } = this.#exchange;
    const onAbort = () => this.abort("cancelled");
    signal?.addEventListener("abort", onAbort, { once: true });
    this.#outgoing.on(
      "close",
      () => signal?.removeEventListener("abort", onAbort),
    );
    this.#outgoing.on("information", () => {
      if (++this.#informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
        this.abort("malformed");
      }
    });
    this.#outgoing.on("socket", (socket: Socket) => {
      socket.connecting
        ? socket.once("connect", () => this.#setConnected())
        : this.#setConnected();
    });
    if (signal?.aborted) {
      this.abort("cancelled");
    }
  }

  #setConnected(): void {
    this.#isConnected = true;
    clearTimeout(this.#connectTimer);
  }
}
