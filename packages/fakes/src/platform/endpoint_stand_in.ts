/**
 * Stand-ins of the platform's endpoints: engines and plain services.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import {
  ATTEMPT_ID,
  EXPECTED_INSTANCE,
  LAST_EVENT_ID,
  NOT_EXECUTED,
  SERVER_LEAVING,
  SIGNATURE,
  WEIGHT_VERSIONS,
} from "@briarhill/platform/names/headers";
import { LeavingWatch } from "./leaving_watch.ts";
import { ORDER_PATH, REPORT_PATH } from "@briarhill/platform/names/paths";
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** An order that an endpoint has received. */
export interface ReceivedOrder {
  readonly holder: string;
  readonly fencingToken: number;
  readonly model: string;
  readonly version: number;
  readonly atMs: number;
}

/** A request that an endpoint has run. */
export interface ReceivedRun {
  readonly attemptId: string;
  readonly path: string;
  readonly fromEvent: number;
}

/** How an endpoint behaves. */
export interface EndpointStandInOptions {
  readonly id: string;
  readonly service: string;
  readonly hostname: string;
  readonly port: number;
  readonly zone: string;
  /** The models of an engine; none for a plain service. */
  readonly models: readonly string[];
  /** How many events a sample has, and the pause before each, in milliseconds. */
  readonly events: number;
  readonly eventMs: number;
  /** How long a load of weights takes, in milliseconds. */
  readonly loadMs: number;
  /** Where others reach it, where that is not where it listens. */
  readonly reachedAt?: HttpAddress;
}

/** An endpoint that speaks the platform's protocol. */
export class EndpointStandIn {
  readonly options: EndpointStandInOptions;
  readonly orders: ReceivedOrder[] = [];
  readonly runs: ReceivedRun[] = [];
  readonly #versions: Map<string, number>;
  /** Who knows that this endpoint is leaving, and sends to it all the same. */
  readonly leaving = new LeavingWatch();
  #bornMs = Date.now();
  readonly #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  #beat = 0;
  #orderCount = 0;
  #isBusy = false;
  /** Streams break off after this many events. */
  breakAfter = Infinity;
  /** The pause before each event beyond the usual, in milliseconds. */
  eventDelayMs = 0;
  /** Answers are held back this long, in milliseconds. */
  delayMs = 0;

  constructor(options: EndpointStandInOptions) {
    this.options = options;
    this.#versions = new Map(options.models.map((model) => [model, 1]));
  }

  /** Listens for hosts. */
  start(): Promise<void> {
    const { port, hostname } = this.options;
    return new Promise((resolve) => {
      this.#server.listen(port, hostname, () => resolve());
    });
  }

  /** Stops at once, as a crash does. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Starts anew, as another incarnation under the same id. */
  startAnew(): void {
    this.leaving.clear();
    this.#bornMs = Date.now();
    this.#beat = 0;
    this.#orderCount = 0;
  }

  /**
   * Returns the entry in the platform's list.
   *
   * @param state - "ready" or "draining".
   */
  createEntry(state: "ready" | "draining" = "ready") {
    const { service, zone } = this.options;
    const { hostname, port } = this.options.reachedAt ?? this.options;
    return {
      service,
      address: `${hostname}:${port}`,
      zone,
      version: "v1",
      slots: 4,
      state,
      coldLeftMs: 0,
      models: this.#listModels(),
      sequence: ++this.#beat,
      born: this.#bornMs,
    };
  }

  #listModels() {
    return [...this.#versions].map(([name, version]) => ({
      name,
      version,
      adapters: [],
    }));
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    if (this.leaving.isLeaving) {
      response.setHeader(SERVER_LEAVING, "1");
    }
    const expected = request.headers[EXPECTED_INSTANCE.toLowerCase()];
    if (expected !== undefined && expected !== this.options.id) {
      response.writeHead(421).end();
    } else if (request.url === REPORT_PATH) {
      this.#sendReport(response);
    } else if (request.url === ORDER_PATH) {
      this.#takeOrder(JSON.parse(body.toString()), response);
    } else {
      await sleep(this.delayMs);
      await this.#run(request, body, response);
    }
  }

  #sendReport(response: ServerResponse): void {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      models: this.#listModels(),
      busy: this.#isBusy,
      sequence: this.#orderCount,
      born: this.#bornMs,
    }));
  }

  #takeOrder(
    order: Omit<ReceivedOrder, "atMs"> & { readonly expected?: number },
    response: ServerResponse,
  ): void {
    const { expected = this.#orderCount } = order;
    if (this.#isBusy || expected !== this.#orderCount) {
      response.writeHead(409).end();
      return;
    }
    this.orders.push({ ...order, atMs: Date.now() });
    this.#orderCount++;
    this.#isBusy = true;
    setTimeout(() => {
      this.#isBusy = false;
      this.#versions.set(order.model, order.version);
    }, this.options.loadMs).unref();
    response.writeHead(202).end();
  }

  async #run(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const attemptId = String(request.headers[ATTEMPT_ID.toLowerCase()] ?? "");
    const headers = {
      [ATTEMPT_ID]: attemptId,
      [SIGNATURE]: `${this.options.id}.${attemptId}`,
    };
    if (this.#isBusy) {
      response.writeHead(503, { ...headers, [NOT_EXECUTED]: "1" }).end();
      return;
    }
    const { remoteAddress, remotePort } = request.socket;
    this.leaving.checkRun(attemptId, `${remoteAddress}:${remotePort}`);
    const last = request.headers[LAST_EVENT_ID.toLowerCase()];
    const fromEvent = last === undefined ? 0 : Number(last) + 1;
    this.runs.push({ attemptId, path: request.url ?? "", fromEvent });
    if (this.options.models.length === 0) {
      response.writeHead(200, headers).end(body);
      return;
    }
    const version = Math.max(...this.#versions.values());
    response.writeHead(200, {
      ...headers,
      [WEIGHT_VERSIONS]: String(version),
      "content-type": "text/event-stream",
    });
    await this.#writeEvents(response, fromEvent);
  }

  async #writeEvents(response: ServerResponse, from: number): Promise<void> {
    const { events, eventMs } = this.options;
    for (let id = from; id < events; id++) {
      await sleep(eventMs + this.eventDelayMs);
      if (id - from >= this.breakAfter) {
        response.write(`id: ${id}\nda`);
        response.destroy();
        return;
      }
      response.write(`id: ${id}\ndata: e${id}\n\n`);
    }
    response.end();
  }
}
