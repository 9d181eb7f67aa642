/**
 * A proxy on loopback that harms the connections between two sides.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { ChangeNotifier } from "@briarhill/common/time/change_notifier";
import type { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** The two ways on a connection. */
export type ProxyDirection = "requests" | "answers";

/** Between whom a proxy stands. */
export interface FaultProxyOptions {
  readonly listen: HttpAddress;
  readonly target: HttpAddress;
  /** The address that the target sees; that of the one who connects to the proxy. */
  readonly localAddress?: string;
}

interface ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/** Passes bytes on between two sides, late, one way only, or not at all. */
export class FaultProxy {
  readonly #options: FaultProxyOptions;
  readonly #server = createServer(
    { allowHalfOpen: true },
    (near) => this.#addConnection(near),
  );
  readonly #connections = new Set<ProxiedConnection>();
  readonly #releases = new ChangeNotifier();
  #held: ProxyDirection | undefined;
  #delayMs = 0;

  constructor(options: FaultProxyOptions) {
    this.#options = options;
  }

  /** How many connections are open. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Begins to listen. */
  start(): Promise<void> {
    const { hostname, port } = this.#options.listen;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, hostname, resolve);
    });
  }

  /** Stops listening and ends all connections. */
  close(): void {
    this.#server.close();
    this.abortConnections();
  }

  /**
   * Delays all bytes from now on.
   *
   * @param delayMs - How long, in milliseconds; 0 for no delay.
   */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /**
   * Holds the bytes of one direction back until it is told otherwise.
   *
   * @param direction - The direction, or undefined to pass all bytes on.
   */
  setHeld(direction: ProxyDirection | undefined): void {
    this.#held = direction;
    this.#releases.announce();
  }

  /** Resets all open connections. */
  abortConnections(): void {
    for (const { near, far } of this.#connections) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Lets all open connections go silent for good; new ones work. */
  suspendConnections(): void {
    this.#connections.forEach((connection) => connection.isSilent = true);
  }

  #addConnection(near: Socket): void {
    const { target, localAddress } = this.#options;
    const far = connect({
      host: target.hostname,
      port: target.port,
      allowHalfOpen: true,
      ...(localAddress === undefined ? {} : { localAddress }),
    });
    const connection = { near, far, isSilent: false };
    this.#connections.add(connection);
    this.#forwardBytes(connection, near, far);
    this.#forwardBytes(connection, far, near);
  }

  #forwardBytes(connection: ProxiedConnection, from: Socket, to: Socket): void {
    const direction = from === connection.near ? "requests" : "answers";
    let last = Promise.resolve();
    const enqueue = (step: () => void) => {
      last = last.then(() => this.#waitPassable(direction)).then(() => {
        if (!connection.isSilent) {
          step();
        }
      });
    };
    from.on("data", (bytes: Buffer) => enqueue(() => to.write(bytes)));
    from.on("end", () => enqueue(() => to.end()));
    // An error is followed by a close, and each side may end first.
    from.on("error", () => undefined);
    from.on("close", (hadError) => {
      this.#connections.delete(connection);
      enqueue(() => hadError ? to.resetAndDestroy() : to.destroySoon());
    });
  }

  async #waitPassable(direction: ProxyDirection): Promise<void> {
    if (this.#delayMs > 0) {
      await sleep(this.#delayMs);
    }
    while (this.#held === direction) {
      await this.#releases.wait();
    }
  }
}
