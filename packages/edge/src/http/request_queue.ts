/**
 * Handles the requests of each connection one after the other.
 *
 * Load pattern: a client sends thousands of requests ahead of their answers, which
 * it does not read. The parser emits all that it has received at once, and each
 * request that is handled takes memory until its answer is sent.
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The number of requests that a connection may send ahead of its answers. */
const MAX_AHEAD = 16;

/** Handles a request until its response has been written or its connection closed. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

type Exchange = readonly [IncomingMessage, ServerResponse];

interface ConnectionQueue {
  readonly waiting: Exchange[];
  current: ServerResponse | undefined;
}

/** Handles the requests of each connection one after the other. */
export class RequestQueue {
  readonly #handle: RequestHandler;
  readonly #queues = new WeakMap<Socket, ConnectionQueue>();

  /**
   * @param handle - Handles one request.
   */
  constructor(handle: RequestHandler) {
    this.#handle = handle;
  }

  /**
   * Adds a server.
   *
   * @param server - The server.
   */
  addServer(server: Server): void {
    server.on("connection", (socket: Socket) => {
      this.#queues.set(socket, {
        waiting: [],
        current: undefined,
      });
    });
    server.on("request", (request, response) => {
      this.#addRequest(request, response);
    });
  }

  #addRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const queue = this.#queues.get(socket);
    // The parser emits what it has already received of a connection that was closed.
    if (queue === undefined || socket.destroyed) {
      return;
    }
    if (queue.current === undefined) {
      this.#start(queue, [request, response]);
    } else if (queue.waiting.length < MAX_AHEAD) {
      queue.waiting.push([request, response]);
    } else {
      // The parser holds a response for each request until the connection closes.
      queue.waiting.length = 0;
      socket.destroy();
    }
  }

  #start(queue: ConnectionQueue, [request, response]: Exchange): void {
    queue.current = response;
    response.once("close", () => {
      queue.current = undefined;
      const next = queue.waiting.shift();
      if (next !== undefined && !request.socket.destroyed) {
        this.#start(queue, next);
      }
    });
    this.#handle(request, response);
  }
}
