/**
 * Provides a TCP server that responds with the bytes that a test writes.
 * @module
 */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

/**
 * Handles a request, given its connection and its number among the requests to
 * the server, from 1.
 */
export type RawHandler = (socket: Socket, request: number) => void;

/** A running raw server. */
export interface RawServer {
  readonly address: string;
  /** Returns the number of requests received on all connections. */
  readonly countRequests: () => number;
  readonly close: () => Promise<void>;
}

/**
 * Starts a server that calls a handler for each request.
 *
 * @param handle - Called for each request; writes the response.
 * @param connect - Called for each new connection.
 */
export async function startRawServer(
  handle: RawHandler,
  connect: (socket: Socket) => void = () => undefined,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  let requests = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      const requestCount =
        data.toString("latin1").split(" HTTP/1.1\r\n").length - 1;
      for (let count = 0; count < requestCount; count++) {
        handle(socket, ++requests);
      }
    });
    connect(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    countRequests: () => requests,
    close: async () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
      await once(server, "close");
    },
  };
}

/**
 * Returns the text of a complete HTTP response.
 *
 * @param body - The response body.
 * @param status - The response status.
 */
export function createResponse(body: string, status = 200): string {
  const length = Buffer.byteLength(body);
  return `HTTP/1.1 ${status} X\r\ncontent-length: ${length}\r\n\r\n${body}`;
}
