/**
 * Sends HTTP requests over persistent connections with Node's `http`. The
 * outcome of a failure must be "not-run" only if no byte of the request can
 * have reached the server, because callers retry such requests.
 * @module
 */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Socket } from "node:net";
import { readBody } from "./body_reader.ts";
import { ConnectionHistory } from "./connection_history.ts";
import { RequestWatch } from "./request_watch.ts";
import { followConnectionEnd, setBroken } from "./response_completeness.ts";
import type { ResponseMemory } from "./response_memory.ts";
import { ResponseSyntaxGuard } from "./response_syntax_guard.ts";
import { StrayByteGuard } from "./stray_byte_guard.ts";
import { createUnsendableError } from "./unsendable_error.ts";
import type {
  HttpAddress,
  HttpRequest,
  HttpResponse,
  HttpResponseHead,
} from "./http_exchange.ts";

/** Options of {@link HttpSender}. */
export interface HttpSenderOptions {
  /** The name of the external system in errors, such as "store". */
  readonly port: string;
  /** The timeout for opening a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** The maximum number of open connections to one address. */
  readonly maxConnections: number;
  /** The time after which an idle connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** The maximum size of a response body that {@link HttpSender.send} reads, in bytes. */
  readonly maxBodyBytes: number;
  /** The account of the response bodies that {@link HttpSender.send} reads. */
  readonly memory: ResponseMemory;
  /**
   * Whether servers may send a copy of a response late, in the place of the next
   * one. A request is then not sent on a connection where such a copy could be
   * taken for its response.
   */
  readonly hasLateCopies?: boolean;
}

/** Sends HTTP requests over persistent connections. */
export class HttpSender {
  readonly #options: HttpSenderOptions;
  readonly #agent: Agent;
  readonly #history = new ConnectionHistory();
  readonly #strayBytes = new StrayByteGuard();
  readonly #syntax = new ResponseSyntaxGuard();

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
   * Sends a request and resolves with the response head. Rejects with a
   * {@link PortError} whose outcome is "not-run" only if no byte of the request
   * can have reached the server.
   *
   * @param exchange - The request to send.
   */
  open(exchange: HttpRequest): Promise<HttpResponseHead> {
    return new Promise((resolve, reject) => {
      let hasResponse = false;
      // An error that is thrown here rejects the promise.
      const outgoing = this.#createRequest(exchange);
      const watch = new RequestWatch(outgoing, exchange, this.#options);
      let isRepeat = false;
      outgoing.once("socket", (socket: Socket) => {
        isRepeat = this.#isAmbiguous(socket, exchange.exchangeId);
        // No byte has been written yet, so it is safe to send the request on
        // another connection.
        isRepeat
          ? outgoing.destroy()
          : this.#addExchange(socket, exchange, { outgoing, watch });
      });
      outgoing.on("response", (incoming: IncomingMessage) => {
        watch.clear();
        hasResponse = true;
        followConnectionEnd(incoming);
        this.#strayBytes.followBody(incoming);
        resolve(this.#createHead(outgoing, incoming));
      });
      // A response that switches protocols (101) ends without an error event.
      outgoing.on("close", () => {
        watch.clear();
        if (!hasResponse && !isRepeat) {
          reject(watch.createError(undefined));
        }
      });
      outgoing.on("error", (error) => {
        watch.clear();
        isRepeat
          ? this.open(exchange).then(resolve, reject)
          : reject(watch.createError(error));
      });
      outgoing.end(exchange.body);
    });
  }

  /**
   * Sends a request and resolves with the complete response.
   *
   * @param exchange - The request to send.
   * @param bodyTimeoutMs - The timeout for the body after the head, in milliseconds.
   */
  async send(
    exchange: HttpRequest,
    bodyTimeoutMs: number,
  ): Promise<HttpResponse> {
    const head = await this.open(exchange);
    const body = await readBody(head.stream, {
      timeoutMs: bodyTimeoutMs,
      maxBytes: this.#options.maxBodyBytes,
      memory: this.#options.memory,
      port: this.#options.port,
      operation: exchange.path,
    });
    return { ...head, body };
  }

  /**
   * Returns the number of idle connections to an address.
   *
   * @param address - The address.
   */
  countIdle(address: HttpAddress): number {
    return this.#getIdle(address)?.length ?? 0;
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  #createRequest(exchange: HttpRequest): ClientRequest {
    const { address, method, path, body, headers } = exchange;
    this.#selectConnection(exchange);
    const length = hasBody(exchange)
      ? ["Content-Length", String(body?.length ?? 0)]
      : [];
    try {
      const outgoing = request({
        agent: this.#agent,
        host: address.hostname,
        port: address.port,
        method,
        path,
        headers: [...headers, ...length] as unknown as Record<string, string>,
        setHost: false,
      });
      // The size of a head is limited; fields beyond a count would be dropped unseen.
      outgoing.maxHeadersCount = 0;
      return outgoing;
    } catch (error) {
      throw createUnsendableError(error, this.#options.port);
    }
  }

  /**
   * Moves the newest idle connection that can carry a request to where the agent
   * takes it from, as one that can't would have to be closed.
   */
  #selectConnection({ address, exchangeId }: HttpRequest): void {
    const idle = this.#getIdle(address);
    const index =
      idle?.findLastIndex((socket) => !this.#isAmbiguous(socket, exchangeId)) ??
        -1;
    if (idle !== undefined && index >= 0) {
      idle.push(...idle.splice(index, 1));
    }
  }

  #getIdle({ hostname: host, port }: HttpAddress): Socket[] | undefined {
    return this.#agent.freeSockets[this.#agent.getName({ host, port })];
  }

  #createHead(
    { reusedSocket }: ClientRequest,
    response: IncomingMessage,
  ): HttpResponseHead {
    const { socket, statusCode = 0, headers, rawHeaders } = response;
    // Without a listener, a connection reset after the head would
    // terminate the process.
    response.on("error", () => undefined);
    response.once("end", () => {
      this.#history.setIdle(socket);
      this.#strayBytes.setIdle(socket);
    });
    return {
      status: statusCode,
      headers,
      rawHeaders,
      stream: response,
      isReused: reusedSocket,
    };
  }

  #addExchange(
    socket: Socket,
    { exchangeId, method }: HttpRequest,
    { outgoing, watch }: {
      readonly outgoing: ClientRequest;
      readonly watch: RequestWatch;
    },
  ): void {
    this.#history.addExchange(socket, exchangeId);
    this.#strayBytes.addRequest(socket, () => watch.abort("malformed"));
    let response: IncomingMessage | undefined;
    outgoing.on("response", (incoming) => response = incoming);
    this.#syntax.addRequest(socket, {
      method,
      onFault: (error) => {
        if (response === undefined) {
          watch.abort("malformed", error);
        } else {
          // Its reader may still read what arrived before the fault.
          setBroken(response, error);
          socket.destroy();
        }
      },
    });
    outgoing.on("information", () => this.#strayBytes.setProgress(socket));
  }

  /** Returns whether the response to a request could not be told from a copy of an earlier one on this connection. */
  #isAmbiguous(socket: Socket, exchangeId: string | undefined): boolean {
    return this.#options.hasLateCopies === true &&
      this.#history.isAmbiguous(socket, exchangeId);
  }
}

function hasBody({ method, body }: HttpRequest): boolean {
  return body !== undefined || method === "POST" || method === "PUT";
}
