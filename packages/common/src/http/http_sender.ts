/**
 * Sends HTTP requests over kept connections, by Node's `http`.
 * @module
 */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Socket } from "node:net";
import type { PortError, PortFault } from "../errors/errors.ts";
import { createPortError } from "../errors/port_fault.ts";
import { readBody } from "./body_reader.ts";
import type { HttpAnswer, HttpHead, HttpRequest } from "./http_exchange.ts";

/** The bounds of a sender. */
export interface HttpSenderOptions {
  /** The name of the outside system in errors, such as "store". */
  readonly port: string;
  /** The longest wait for a new connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** The most open connections to one address. */
  readonly maxConnections: number;
  /** How long an unused connection is kept, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** The largest body of an answer that is read as a whole, in bytes. */
  readonly maxBodyBytes: number;
}

/** Sends HTTP requests over kept connections. */
export class HttpSender {
  readonly #options: HttpSenderOptions;
  readonly #agent: Agent;
  /** The request that each connection has answered last. */
  readonly #lastExchanges = new WeakMap<Socket, string>();

  constructor(options: HttpSenderOptions) {
    this.#options = options;
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: options.maxConnections,
      maxFreeSockets: options.maxConnections,
      timeout: options.idleTimeoutMs,
      scheduling: "lifo",
    });
  }

  /**
   * Sends a request and resolves with the head of the answer.
   * A failure is a {@link PortError} whose outcome is "not-run" only where no
   * byte of the request can have reached the other side.
   *
   * @param exchange - The request.
   */
  open(exchange: HttpRequest): Promise<HttpHead> {
    return new Promise((resolve, reject) => {
      const outgoing = this.#createRequest(exchange);
      const failure = this.#startWatch(outgoing, exchange);
      let isRepeat = false;
      outgoing.once("socket", (socket: Socket) => {
        isRepeat = this.#hasAnswered(socket, exchange);
        if (isRepeat) {
          // Nothing has been written yet.
          outgoing.destroy();
        }
      });
      outgoing.on("response", (response: IncomingMessage) => {
        failure.clear();
        // Without a listener, a reset after the head would end the process.
        response.on("error", () => undefined);
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          rawHeaders: response.rawHeaders,
          stream: response,
        });
      });
      outgoing.on("error", (error) => {
        failure.clear();
        isRepeat
          ? this.open(exchange).then(resolve, reject)
          : reject(failure.createError(error));
      });
      outgoing.end(exchange.body);
    });
  }

  /**
   * Sends a request and resolves with the whole answer.
   *
   * @param exchange - The request.
   * @param bodyTimeoutMs - The longest wait for the body after the head.
   */
  async send(
    exchange: HttpRequest,
    bodyTimeoutMs: number,
  ): Promise<HttpAnswer> {
    const head = await this.open(exchange);
    const body = await readBody(head.stream, {
      timeoutMs: bodyTimeoutMs,
      maxBytes: this.#options.maxBodyBytes,
      port: this.#options.port,
      operation: exchange.path,
    });
    return { ...head, body };
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  #createRequest(exchange: HttpRequest): ClientRequest {
    const { address, method, path, body, headers } = exchange;
    const length = hasBody(exchange)
      ? ["Content-Length", String(body?.length ?? 0)]
      : [];
    return request({
      agent: this.#agent,
      host: address.hostname,
      port: address.port,
      method,
      path,
      headers: [...headers, ...length] as unknown as Record<string, string>,
      setHost: false,
    });
  }

  /** Tells whether a connection has answered the same request last, and notes the request else. */
  #hasAnswered(socket: Socket, { exchangeId }: HttpRequest): boolean {
    if (exchangeId === undefined) {
      return false;
    }
    const hasAnswered = this.#lastExchanges.get(socket) === exchangeId;
    this.#lastExchanges.set(socket, exchangeId);
    return hasAnswered;
  }

  /** Ends an exchange whose connection or head takes too long, and remembers why. */
  #startWatch(outgoing: ClientRequest, exchange: HttpRequest): ExchangeWatch {
    const { port, connectTimeoutMs } = this.#options;
    let isConnected = false;
    let fault: PortFault | undefined;
    const end = (reason: PortFault) => {
      fault ??= reason;
      outgoing.destroy();
    };
    const connecting = setTimeout(() => end("refused"), connectTimeoutMs);
    const waiting = setTimeout(() => end("silent"), exchange.headTimeoutMs);
    const abort = () => end("cancelled");
    exchange.signal?.addEventListener("abort", abort, { once: true });
    outgoing.on("close", () => {
      exchange.signal?.removeEventListener("abort", abort);
    });
    onConnected(outgoing, () => {
      isConnected = true;
      clearTimeout(connecting);
    });
    if (exchange.signal?.aborted) {
      end("cancelled");
    }
    return {
      clear: () => {
        clearTimeout(connecting);
        clearTimeout(waiting);
      },
      createError: (error) => {
        const kind = fault ?? (isConnected ? "reset" : "refused");
        return createPortError(`${port} ${exchange.path}: ${kind}`, {
          cause: error,
          port,
          operation: exchange.path,
          fault: kind,
          outcome: isConnected ? "unknown" : "not-run",
        });
      },
    };
  }
}

/** Calls back once a request has a connection: a kept one at once, else when it is open. */
function onConnected(outgoing: ClientRequest, callback: () => void): void {
  outgoing.on("socket", (socket: Socket) => {
    socket.connecting ? socket.once("connect", callback) : callback();
  });
}

interface ExchangeWatch {
  readonly clear: () => void;
  readonly createError: (error: unknown) => PortError;
}

function hasBody({ method, body }: HttpRequest): boolean {
  return body !== undefined || method === "POST" || method === "PUT";
}
