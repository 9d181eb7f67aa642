/**
 * Closes the connections of HTTP servers without losing a request: a request that
 * was read is answered, and its connection is closed after the response. Work has
 * ended only once no connection is open, as any open one may bring a request.
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

const CLOSE_HEADER = ["Connection", "close"] as const;

/** Closes the connections of HTTP servers without losing a request. */
export class ConnectionDrain {
  readonly #servers: Server[] = [];
  /** The unfinished responses on each open connection. */
  readonly #connections = new Map<Socket, Set<ServerResponse>>();
  #isAnnounced = false;
  #isClosing = false;

  /** The number of open connections. */
  get openConnections(): number {
    return this.#connections.size;
  }

  /**
   * Adds a server; must be called before it listens.
   *
   * @param server - The server.
   */
  addServer(server: Server): void {
    this.#servers.push(server);
    server.on("connection", (socket: Socket) => {
      this.#connections.set(socket, new Set());
      socket.once("close", () => this.#connections.delete(socket));
    });
    // Requests are recorded before the server's own handler answers them.
    server.prependListener("request", this.#addResponse.bind(this));
  }

  /** Asks clients to open another connection for their next request, which the load balancer sends to another host. */
  announceClose(): void {
    this.#isAnnounced = true;
    for (const response of this.#listResponses()) {
      announceClose(response);
    }
  }

  /** Stops accepting connections, closes those without a request, and closes the others after their responses. */
  close(): void {
    this.announceClose();
    this.#isClosing = true;
    for (const server of this.#servers) {
      server.close();
      server.closeIdleConnections();
    }
    for (const [socket, responses] of this.#connections) {
      // The server takes a connection on which nothing was sent yet for a busy one.
      if (responses.size === 0 && socket.bytesRead === 0) {
        socket.destroy();
      }
    }
  }

  /** Closes all connections, whatever is under way on them. */
  closeAll(): void {
    for (const socket of [...this.#connections.keys()]) {
      socket.destroy();
    }
  }

  #addResponse({ socket }: IncomingMessage, response: ServerResponse): void {
    if (socket.destroyed) {
      return;
    }
    const responses = this.#connections.get(socket) ?? new Set();
    responses.add(response);
    if (this.#isAnnounced) {
      announceClose(response);
    }
    response.once("close", () => {
      responses.delete(response);
      // The head of the last response may have been sent before the close was announced.
      if (this.#isClosing && responses.size === 0) {
        socket.destroySoon();
      }
    });
  }

  #listResponses(): readonly ServerResponse[] {
    return [...this.#connections.values()].flatMap((
      responses,
    ) => [...responses]);
  }
}

function announceClose(response: ServerResponse): void {
  if (!response.headersSent) {
    response.setHeader(...CLOSE_HEADER);
  }
}
