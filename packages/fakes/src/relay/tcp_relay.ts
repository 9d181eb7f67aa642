/**
 * A TCP relay on loopback whose open connections can be made to go silent.
 * @module
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

const HOST = "127.0.0.1";

interface Link {
  readonly near: Socket;
  readonly far: Socket;
}

/** Passes connections on to one port; open ones can be made to go silent while new ones work. */
export class TcpRelay {
  readonly #targetPort: number;
  readonly #links = new Set<Link>();
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #port = 0;

  constructor(targetPort: number) {
    this.#targetPort = targetPort;
  }

  /** Returns the base address for HTTP. */
  getAddress(): string {
    return `http://${HOST}:${this.#port}`;
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    const server = createServer((near) => this.#open(near));
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, HOST, resolve);
    });
    this.#port = (server.address() as AddressInfo).port;
  }

  /** Makes all open connections silent for good and returns how many there were. */
  suspendLinks(): number {
    const count = this.#links.size;
    for (const { near, far } of this.#links) {
      [near, far].forEach(dropAll);
    }
    this.#links.clear();
    return count;
  }

  /** Stops to listen and breaks all connections off. */
  async stop(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server !== undefined) {
      const closed = new Promise((resolve) => server.close(resolve));
      this.#sockets.forEach((socket) => socket.destroy());
      await closed;
    }
  }

  #open(near: Socket): void {
    const far = connect(this.#targetPort, HOST);
    const link: Link = { near, far };
    this.#links.add(link);
    for (const [from, to] of [[near, far], [far, near]] as const) {
      this.#sockets.add(from);
      from.on("error", () => undefined);
      from.pipe(to);
      from.once("close", () => this.#close(link, from, to));
    }
  }

  /** The other end learns of a close only while the link is not silent. */
  #close(link: Link, closed: Socket, other: Socket): void {
    this.#sockets.delete(closed);
    if (this.#links.delete(link)) {
      other.destroy();
    }
  }
}

/** Reads on without passing anything on, as a path that has lost the connection. */
function dropAll(socket: Socket): void {
  socket.unpipe();
  socket.resume();
}
