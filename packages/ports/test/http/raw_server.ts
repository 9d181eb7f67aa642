/**
 * A TCP server that answers with bytes of the test's choice.
 * @module
 */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

/** Gets the connection and the number of requests that it has brought, from 1. */
export type RawHandler = (socket: Socket, request: number) => void;

/** A running server. */
export interface RawServer {
  readonly address: string;
  /** Returns how many requests have arrived on all connections. */
  readonly countRequests: () => number;
  readonly close: () => Promise<void>;
}

/**
 * Starts a server that calls back for each request.
 *
 * @param handle - What answers.
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
      const arrived = data.toString("latin1").split(" HTTP/1.1\r\n").length - 1;
      for (let count = 0; count < arrived; count++) {
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
 * Returns the bytes of a whole answer.
 *
 * @param body - The body.
 * @param status - The status.
 */
export function createAnswer(body: string, status = 200): string {
  const length = Buffer.byteLength(body);
  return `HTTP/1.1 ${status} X\r\ncontent-length: ${length}\r\n\r\n${body}`;
}
