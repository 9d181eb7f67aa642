/**
 * A TCP forwarder that injects faults into open connections.
 * @module
 */
import { abortSocket } from "@briarhill/fakes/relay/abort_socket";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Forwards TCP connections; can drop the traffic of open connections or reset them. */
export class FaultyForwarder {
  readonly #server: Server;
  readonly #pairs: [Socket, Socket][] = [];
  #target = 0;

  constructor() {
    this.#server = createServer((clientSocket) => {
      const targetSocket = connect(this.#target, "127.0.0.1");
      this.#pairs.push([clientSocket, targetSocket]);
      clientSocket.pipe(targetSocket);
      targetSocket.pipe(clientSocket);
      clientSocket.on("error", () => targetSocket.destroy());
      targetSocket.on("error", () => clientSocket.destroy());
    });
  }

  /** Starts listening, and returns the address to dial. */
  start(): Promise<string> {
    return new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`127.0.0.1:${port}`);
      })
    );
  }

  /** Sets the port on loopback that connections are forwarded to. */
  setTarget(port: number): void {
    this.#target = port;
  }

  /** Returns the number of connections accepted so far. */
  countConnections(): number {
    return this.#pairs.length;
  }

  /** Discards all further traffic of the open connections in the given direction, without closing them. */
  dropTraffic(direction: "to-target" | "from-target" | "both"): void {
    for (const [clientSocket, targetSocket] of this.#pairs) {
      if (direction !== "from-target") {
        clientSocket.unpipe(targetSocket);
        clientSocket.resume();
      }
      if (direction !== "to-target") {
        targetSocket.unpipe(clientSocket);
        targetSocket.resume();
      }
    }
  }

  /** Resets all open connections. */
  reset(): void {
    this.#pairs.flat().forEach(abortSocket);
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.#server.close();
    this.#pairs.flat().forEach((socket) => socket.destroy());
  }
}
