/**
 * Stand-ins for the platform's endpoints: engines and plain services, which record
 * the orders and attempts that they receive.
 * @module
 */
import {
  ATTEMPT_ID,
  EXPECTED_INSTANCE,
  NOT_EXECUTED,
  SERVER_LEAVING,
  SERVER_LIMIT,
  SIGNATURE,
} from "@briarhill/platform/names/headers";
import { createEndpointEntry } from "./endpoint_entry.ts";
import {
  createReceivedAttempt,
  type EndpointStandInOptions,
  type ReceivedAttempt,
  type ReceivedOrder,
} from "./endpoint_stand_in_options.ts";
import { type EndlessPart, writeEndless } from "./endless_response.ts";
import { writeEvents } from "./event_stream.ts";
import { createStreamHeaders, FIRST_SOFTWARE_VERSION } from "./event_text.ts";
import { LimitMonitor } from "./limit_monitor.ts";
import { HEALTH_PATH } from "./platform_configuration.ts";
import { LeavingMonitor } from "./leaving_monitor.ts";
import { ResponseEndings } from "./response_endings.ts";
import { readRequestBytes } from "./request_bytes.ts";
import { CrashSwitch } from "./crash_switch.ts";
import { ORDER_PATH, REPORT_PATH } from "@briarhill/platform/names/paths";
import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** A stand-in for an endpoint that speaks the platform's protocol. */
export class EndpointStandIn {
  readonly options: EndpointStandInOptions;
  readonly orders: ReceivedOrder[] = [];
  readonly runs: ReceivedAttempt[] = [];
  readonly #versions: Map<string, number>;
  /** Records hosts that keep sending after a response told them that it is leaving. */
  readonly leaving = new LeavingMonitor();
  /** States a request limit and checks that all hosts together keep it. */
  readonly limit = new LimitMonitor();
  #startedAtMs = Date.now();
  readonly #server = createServer((...exchange) =>
    void this.#handle(...exchange)
  );
  #sequence = 0;
  #orderCount = 0;
  #isLoading = false;
  /** Streams are closed in the middle of the event that follows this number of events. */
  breakAfter = Infinity;
  /** The delay before each event in addition to `eventMs`, in milliseconds. */
  eventDelayMs = 0;
  /** The bytes that are added to the data of each event of a stream. */
  eventBytes = 0;
  readonly endings = new ResponseEndings();
  /** What responses to attempts repeat without end; undefined if they end. */
  endless: EndlessPart | undefined;
  /** The number of bytes of a request's body that the response of a plain service repeats. */
  echoBytes = Infinity;
  /** The delay before each attempt starts, in milliseconds; reports and orders are not delayed. */
  delayMs = 0;
  /** The attempts that have arrived, whether they ran or not. */
  readonly arrivals: string[] = [];
  /** The version of its software, which shows in all events that it generates. */
  softwareVersion = FIRST_SOFTWARE_VERSION;
  /** Crashes when it runs certain requests. */
  readonly crash = new CrashSwitch();

  constructor(options: EndpointStandInOptions) {
    this.options = options;
    this.#versions = new Map(options.models.map((model) => [model, 1]));
  }

  /** Starts listening for requests of hosts. */
  start(): Promise<void> {
    const { port, hostname } = this.options;
    return new Promise((resolve) =>
      this.#server.listen(port, hostname, () => resolve())
    );
  }

  /** Stops listening and closes all connections at once, as in a crash. */
  close(): void {
    this.#server.close();
    this.endings.abortAll();
    this.#server.closeAllConnections();
  }

  /** Restarts as a new incarnation under the same id. */
  startIncarnation(): void {
    this.leaving.clear();
    this.limit.clearLimit();
    this.#startedAtMs = Date.now();
    this.#sequence = 0;
    this.#orderCount = 0;
  }

  /**
   * Returns this endpoint's next entry in the platform's endpoint list.
   *
   * @param state - The state that the entry reports.
   */
  createEntry(state: "ready" | "draining" = "ready") {
    return createEndpointEntry(this.options, {
      state,
      version: this.softwareVersion,
      models: this.#listModels(),
      sequence: ++this.#sequence,
      born: this.#startedAtMs,
    });
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
    const body = await readRequestBytes(request);
    if (body === undefined) {
      return;
    }
    if (this.leaving.isLeaving) {
      response.setHeader(SERVER_LEAVING, "1");
    }
    if (this.limit.text !== undefined) {
      response.setHeader(SERVER_LIMIT, this.limit.text);
    }
    const { id } = this.options;
    if ((request.headers[EXPECTED_INSTANCE.toLowerCase()] ?? id) !== id) {
      response.writeHead(421).end();
    } else if (request.url === HEALTH_PATH) {
      // It takes no slot and counts against no limit, as it is no attempt.
      response.writeHead(200, { "content-length": 0 }).end();
    } else if (request.url === REPORT_PATH) {
      this.#sendReport(response);
    } else if (request.url === ORDER_PATH) {
      this.#handleOrder(JSON.parse(body.toString()), response);
    } else {
      this.limit.addArrival();
      const attemptId = request.headers[ATTEMPT_ID.toLowerCase()] ?? "";
      this.arrivals.push(String(attemptId));
      await sleep(this.delayMs);
      if (this.crash.isTriggered(body)) {
        await this.crash.killEndpoint(this);
        return;
      }
      await this.#runAttempt(request, body, response);
    }
  }

  #sendReport(response: ServerResponse): void {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      models: this.#listModels(),
      busy: this.#isLoading,
      sequence: this.#orderCount,
      born: this.#startedAtMs,
    }));
  }

  #handleOrder(
    order: Omit<ReceivedOrder, "atMs"> & { readonly expected?: number },
    response: ServerResponse,
  ): void {
    const { expected = this.#orderCount } = order;
    if (this.#isLoading || expected !== this.#orderCount) {
      response.writeHead(409).end();
      return;
    }
    this.orders.push({ ...order, atMs: Date.now() });
    this.#orderCount++;
    this.#isLoading = true;
    setTimeout(() => {
      this.#isLoading = false;
      this.#versions.set(order.model, order.version);
    }, this.options.loadMs).unref();
    response.writeHead(202).end();
  }

  async #runAttempt(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const received = createReceivedAttempt(request);
    const { attemptId } = received;
    const headers = {
      [ATTEMPT_ID]: attemptId,
      [SIGNATURE]: `${this.options.id}.${attemptId}`,
    };
    if (this.#isLoading) {
      response.writeHead(503, { ...headers, [NOT_EXECUTED]: "1" }).end();
      return;
    }
    const { remoteAddress, remotePort } = request.socket;
    this.leaving.checkAttempt(attemptId, `${remoteAddress}:${remotePort}`);
    this.runs.push(received);
    if (this.endings.writeMalformed(response, headers)) {
      return;
    }
    const isEngine = this.options.models.length > 0;
    this.endings.open(response).writeHead(
      200,
      isEngine ? createStreamHeaders(headers, this.#versions) : headers,
    );
    if (this.endless !== undefined) {
      await writeEndless(response, this.endless);
    } else if (isEngine) {
      await writeEvents(response, {
        from: received.fromEvent,
        source: this,
      });
    } else {
      this.endings.finish(response, body.subarray(0, this.echoBytes));
    }
  }
}
