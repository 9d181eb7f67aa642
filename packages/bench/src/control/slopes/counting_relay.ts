/**
 * Relays the connections of a process to one service over loopback and counts
 * the traffic in both directions.
 * @module
 */
import {
  type Traffic,
  TrafficMeter,
} from "@briarhill/node/peers/traffic_meter";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

const HOST = "127.0.0.1";

/** Relays connections to one HTTP server and counts bytes and segments. */
export class CountingRelay {
  readonly #target: URL;
  readonly #meter = new TrafficMeter();
  readonly #sockets = new Set<Socket>();
  readonly #server: Server;

  private constructor(target: string) {
    this.#target = new URL(target);
    this.#server = createServer((client) => this.#open(client));
  }

  /**
   * Starts a relay.
   *
   * @param target - The address that connections are forwarded to.
   */
  static async start(target: string): Promise<CountingRelay> {
    const relay = new CountingRelay(target);
    await new Promise<void>((resolve, reject) => {
      relay.#server.once("error", reject);
      relay.#server.listen(0, HOST, resolve);
    });
    return relay;
  }

  /** Returns the relay's base address for HTTP. */
  getAddress(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://${HOST}:${port}`;
  }

  /** Returns the traffic relayed so upstream, counted on the side of the clients. */
  getTraffic(): Traffic {
    return this.#meter.getTraffic();
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#sockets.forEach((socket) => socket.destroy());
    await closed;
  }

  #open(client: Socket): void {
    const upstream = connect(Number(this.#target.port), this.#target.hostname);
    this.#meter.addSocket(client);
    client.on("data", () => this.#meter.addMessageIn());
    upstream.on("data", () => this.#meter.addMessageOut());
    for (
      const [from, to] of [[client, upstream], [upstream, client]] as const
    ) {
      this.#sockets.add(from);
      from.on("error", () => undefined);
      from.pipe(to);
      from.once("close", () => {
        this.#sockets.delete(from);
        to.destroy();
      });
    }
  }
}
