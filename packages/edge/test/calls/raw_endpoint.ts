import { type AddressInfo, createServer, type Socket } from "node:net";

/** Writes an endpoint's response to a connection on which a request has arrived. */
export type ConnectionScript = (socket: Socket) => void;

/** An endpoint that sends arbitrary bytes chosen by the test. */
export class RawEndpoint {
  readonly #server = createServer((socket) => this.#addSocket(socket));
  readonly #sockets = new Set<Socket>();
  readonly #script: ConnectionScript;
  #closed = 0;
  #sentBytes = 0;

  constructor(script: ConnectionScript) {
    this.#script = script;
  }

  /** The number of closed connections. */
  get closed(): number {
    return this.#closed;
  }

  /** The number of bytes that were sent on closed connections. */
  get sentBytes(): number {
    return this.#sentBytes;
  }

  async start(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #addSocket(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.#closed++;
      this.#sentBytes += socket.bytesWritten - socket.writableLength;
      this.#sockets.delete(socket);
    });
    socket.on("data", () => this.#script(socket));
  }
}

/** Returns a script that sends a head, then repeats a chunk at full speed or with a pause in between. */
export function createEndlessScript(
  head: string,
  { piece: chunk, pauseMs = 0 }: {
    readonly piece: string;
    readonly pauseMs?: number;
  },
): ConnectionScript {
  return (socket) => {
    socket.write(head);
    const write = () => {
      while (!socket.destroyed && socket.write(chunk) && pauseMs === 0);
      if (!socket.destroyed && pauseMs > 0) {
        setTimeout(write, pauseMs);
      }
    };
    socket.on("drain", () => pauseMs === 0 && write());
    write();
  };
}
