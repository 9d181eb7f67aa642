/**
 * An HTTP server with routes. Under load, it starts only a few requests in each
 * turn of the event loop, so that new connections are still accepted.
 * @module
 */
import { InputError, NotFoundError } from "@briarhill/common/errors/errors";
import type { Logger } from "@briarhill/common/logging/logger";
import findMyWay, { type HTTPMethod } from "find-my-way";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setImmediate } from "node:timers";
import type { ListenAddress } from "../settings/node_settings.ts";
import { Exchange } from "./exchange.ts";
import { openPort } from "./open_port.ts";
import { toProblem } from "./problem.ts";
import { sendProblem } from "./send_problem.ts";
import { TurnQueue } from "./turn_queue.ts";

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const MIN_SERVER_ERROR_STATUS = 500;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Starting a request takes about 0.5 ms, so a turn of the event loop stays short. */
const MAX_REQUESTS_PER_TURN = 4;

/** Handles one exchange; an error that it throws is sent as problem+json. */
export type RouteHandler = (exchange: Exchange) => Promise<void> | void;

/** An HTTP server that dispatches requests to routes. */
export class HttpListener {
  readonly #routes = findMyWay({
    ignoreTrailingSlash: true,
    defaultRoute: (request, response) =>
      sendNotFound(request as IncomingMessage, response as ServerResponse),
  });
  readonly #server: Server;
  readonly #logger: Logger;
  readonly #turnQueue = new TurnQueue(MAX_REQUESTS_PER_TURN);
  #openExchanges = 0;
  #stopping = false;

  constructor(logger: Logger) {
    this.#logger = logger;
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0 },
      (request, response) => this.#handleRequest(request, response),
    );
    this.#server.headersTimeout = HEADERS_TIMEOUT_MS;
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  /**
   * Adds a route.
   *
   * @param methods - The HTTP methods of the route.
   * @param pattern - The path, with `:name` for a segment and `*` for the remainder.
   * @param handler - The function that handles the requests.
   */
  addRoute(
    methods: HTTPMethod | HTTPMethod[],
    pattern: string,
    handler: RouteHandler,
  ): void {
    this.#routes.on(methods, pattern, (request, response, params) => {
      const exchange = new Exchange(
        request as IncomingMessage,
        response as ServerResponse,
        params,
      );
      void this.#runHandler(exchange, handler);
    });
  }

  /**
   * Starts to listen and returns the port.
   *
   * @param listen - The address and port to listen on.
   */
  start(listen: ListenAddress): Promise<number> {
    return openPort(this.#server, listen);
  }

  /** Stops accepting connections; resolves when all exchanges have ended. */
  stop(): Promise<void> {
    this.#stopping = true;
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Returns the number of exchanges that have not ended. */
  countOpenExchanges(): number {
    return this.#openExchanges;
  }

  /** Closes all connections immediately, including those with requests in flight. */
  closeAll(): void {
    this.#server.closeAllConnections();
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#openExchanges++;
    response.once("close", () => this.#handleClosed());
    response.on("error", () => response.destroy());
    this.#turnQueue.add(() => this.#startRequest(request, response));
  }

  #startRequest(request: IncomingMessage, response: ServerResponse): void {
    if (response.destroyed) {
      // The caller disconnected while its request was queued.
      return;
    }
    if (this.#stopping) {
      response.setHeader("connection", "close");
    }
    try {
      this.#routes.lookup(request, response);
    } catch (cause) {
      // An invalid request target must not end the process.
      this.#logger.error("request-unreadable", cause);
      sendProblem(
        response,
        new InputError(
          `the request target "${request.url}" is not a valid path`,
          { cause },
        ),
      );
    }
  }

  /**
   * Closes idle connections while stopping: a keep-alive connection could send
   * new requests for as long as it is open.
   */
  #handleClosed(): void {
    this.#openExchanges--;
    if (this.#stopping) {
      setImmediate(() => this.#server.closeIdleConnections());
    }
  }

  async #runHandler(
    exchange: Exchange,
    handler: RouteHandler,
  ): Promise<void> {
    try {
      await handler(exchange);
    } catch (error) {
      this.#logFailure(exchange.request, error);
      exchange.sendProblem(error);
    }
  }

  /** Logs a refused request as info and only server errors (status 500 and above) as errors. */
  #logFailure(request: IncomingMessage, error: unknown): void {
    const fields = {
      method: request.method ?? "",
      path: getPath(request.url ?? "/"),
    };
    const { status, title } = toProblem(error);
    if (status < MIN_SERVER_ERROR_STATUS) {
      this.#logger.info("request-refused", { ...fields, status, title });
    } else {
      this.#logger.error("request-failed", error, fields);
    }
  }
}

function sendNotFound(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  sendProblem(
    response,
    new NotFoundError(`no route for ${request.method} ${request.url}`),
  );
}

function getPath(url: string): string {
  return url.split("?", 1)[0] ?? "/";
}
