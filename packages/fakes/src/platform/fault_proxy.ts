/**
 * A TCP proxy on loopback that injects faults into the connections between a
 * client and a target.
 * @module
 */
import { isReset } from "@briarhill/common/http/response_completeness";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { ChangeNotifier } from "@briarhill/common/time/change_notifier";
import type { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** The two directions of a connection. */
export type ProxyDirection = "requests" | "answers";

/**
 * How a link is cut: "silent" if all bytes are held back until it is restored, "reset" if
 * open connections are reset and new ones fall silent, "refused" if new connections are
 * refused while open ones go on.
 */
export type LinkCut = "silent" | "reset" | "refused";

/** Options of {@link FaultProxy}. */
export interface FaultProxyOptions {
  readonly listen: HttpAddress;
  readonly target: HttpAddress;
  /** The source address of connections to the target, as the target identifies clients by it. */
  readonly localAddress?: string;
}

interface ProxiedConnection {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  isSuspended: boolean;
}

/** Relays bytes between a client and a target: delayed, in one direction only, or not at all. */
export class FaultProxy {
  readonly #options: FaultProxyOptions;
  readonly #server = createServer(
    { allowHalfOpen: true },
    (socket) => this.#addConnection(socket),
  );
  readonly #connections = new Set<ProxiedConnection>();
  readonly #holdChanges = new ChangeNotifier();
  #heldDirection: ProxyDirection | undefined;
  #cut: LinkCut | undefined;
  #delayMs = 0;

  constructor(options: FaultProxyOptions) {
    this.#options = options;
  }

  /** The number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await this.#openListener();
  }

  /** Stops listening and resets all connections. */
  close(): void {
    this.#server.close();
    this.abortConnections();
  }

  /**
   * Sets the delay of all bytes that arrive from now on.
   *
   * @param delayMs - The delay in milliseconds; 0 for none.
   */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /**
   * Holds back the bytes of one direction until the next call.
   *
   * @param direction - The direction to hold back, or undefined to relay both.
   */
  setHeldDirection(direction: ProxyDirection | undefined): void {
    this.#heldDirection = direction;
    this.#holdChanges.announce();
  }

  /**
   * Cuts the link.
   *
   * @param cut - How it is cut.
   */
  suspendLink(cut: LinkCut): void {
    this.#cut = cut;
    if (cut === "reset") {
      this.abortConnections();
    }
    if (cut === "refused") {
      this.#server.close();
    }
  }

  /** Restores the link. */
  async resumeLink(): Promise<void> {
    const cut = this.#cut;
    this.#cut = undefined;
    this.#holdChanges.announce();
    if (cut === "refused") {
      await this.#openListener();
    }
  }

  /** Resets all open connections. */
  abortConnections(): void {
    for (const { clientSocket, targetSocket } of this.#connections) {
      clientSocket.resetAndDestroy();
      targetSocket.resetAndDestroy();
    }
  }

  /** Stops relaying on all open connections for good; new connections work. */
  suspendConnections(): void {
    this.#connections.forEach((connection) => connection.isSuspended = true);
  }

  #openListener(): Promise<void> {
    const { hostname, port } = this.#options.listen;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, hostname, () => resolve());
    });
  }

  #addConnection(clientSocket: Socket): void {
    const { target, localAddress } = this.#options;
    const targetSocket = connect({
      host: target.hostname,
      port: target.port,
      allowHalfOpen: true,
      ...(localAddress === undefined ? {} : { localAddress }),
    });
    const connection = { clientSocket, targetSocket, isSuspended: false };
    this.#connections.add(connection);
    this.#forwardBytes(connection, clientSocket, targetSocket);
    this.#forwardBytes(connection, targetSocket, clientSocket);
  }

  #forwardBytes(connection: ProxiedConnection, from: Socket, to: Socket): void {
    const direction = from === connection.clientSocket ? "requests" : "answers";
    let lastStep = Promise.resolve();
    const enqueue = (step: () => void) => {
      lastStep = lastStep.then(() => this.#waitUntilReleased(direction)).then(
        () => {
          if (!connection.isSuspended) {
            step();
          }
        },
      );
    };
    from.on("data", (bytes: Buffer) => enqueue(() => to.write(bytes)));
    from.on("end", () => {
      // A reset that has arrived together with the last bytes is reported as an end.
      const wasReset = isReset(from);
      enqueue(() => wasReset ? to.resetAndDestroy() : to.end());
    });
    // A "close" event follows each error and is handled below. Either side may close first.
    from.on("error", () => undefined);
    from.on("close", (hadError) => {
      this.#connections.delete(connection);
      enqueue(() => hadError ? to.resetAndDestroy() : to.destroySoon());
    });
  }

  async #waitUntilReleased(direction: ProxyDirection): Promise<void> {
    if (this.#delayMs > 0) {
      await sleep(this.#delayMs);
    }
    while (
      this.#heldDirection === direction || this.#cut === "silent" ||
      this.#cut === "reset"
    ) {
      await this.#holdChanges.wait();
    }
  }
}
