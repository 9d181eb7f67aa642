/**
 * Simulates many engines with one HTTP server that responds to their orders
 * immediately; the first path segment names the engine.
 * @module
 */
import {
  type Traffic,
  TrafficMeter,
} from "@briarhill/node/peers/traffic_meter";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

const HOST = "127.0.0.1";
/** The model that all simulated engines serve. */
export const LED_MODEL = "names-es";

interface EngineVersions {
  version: number;
  loaded?: number;
}

interface OrderBody {
  readonly kind: string;
  readonly version: number;
}

/** An HTTP server that simulates many engines. */
export class OrderServer {
  readonly #meter = new TrafficMeter();
  readonly #engines = new Map<string, EngineVersions>();
  readonly #server: Server;
  #orders = 0;

  private constructor() {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 0;
    this.#server.on("connection", (socket) => this.#meter.addSocket(socket));
  }

  /** Starts a server on a free loopback port. */
  static async start(): Promise<OrderServer> {
    const server = new OrderServer();
    await new Promise<void>((resolve) => {
      server.#server.listen(0, HOST, resolve);
    });
    return server;
  }

  /** Returns the base address, to which the engine's id is appended. */
  getAddress(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://${HOST}:${port}`;
  }

  /** Returns the number of orders received. */
  countOrders(): number {
    return this.#orders;
  }

  /**
   * Returns the number of engines that serve a version.
   *
   * @param version - The version of the weights.
   */
  countAt(version: number): number {
    return [...this.#engines.values()]
      .filter((engine) => engine.version === version).length;
  }

  /** Returns the traffic over the server's sockets. */
  getTraffic(): Traffic {
    return this.#meter.getTraffic();
  }

  /** Stops the server and closes all connections. */
  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#meter.addMessageIn();
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const [, endpoint = ""] = (request.url ?? "").split("/");
    const engine = this.#engines.get(endpoint) ?? { version: 1 };
    this.#engines.set(endpoint, engine);
    if (request.method === "POST") {
      this.#orders += 1;
      applyOrder(engine, JSON.parse(Buffer.concat(chunks).toString()));
    }
    this.#meter.addMessageOut();
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      endpoint,
      incarnation: 1,
      role: "mixed",
      models: [{ model: LED_MODEL, ...engine, adapters: [] }],
      leaving: false,
    }));
  }
}

function applyOrder(engine: EngineVersions, order: OrderBody): void {
  if (order.kind === "load") {
    engine.loaded = order.version;
  } else {
    engine.version = order.version;
    delete engine.loaded;
  }
}
