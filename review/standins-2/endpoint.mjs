// A sound server of the platform: a plain service, or an engine that generates streams.
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const NOT_EXECUTED = "X-Briarhill-Not-Executed";

/** A server that follows the pages. Its hooks let a script add what the pages name as trouble. */
export class Endpoint {
  runs = [];
  arrivals = [];
  orders = [];
  versions = new Map();
  running = 0;
  sequence = 0;
  orderCount = 0;
  isBusy = false;
  state = "ready";
  born = Date.now();

  constructor(platform, options) {
    this.platform = platform;
    this.options = {
      slots: 8,
      queue: 24,
      workMs: 25,
      events: 10,
      eventMs: 20,
      loadMs: 900,
      models: [],
      software: "v1",
      ...options,
    };
    this.options.models.forEach((model) => this.versions.set(model, 1));
    this.server = createServer((request, response) => {
      response.on("error", () => undefined);
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("error", () => undefined);
      request.on(
        "end",
        () => void this.handle(request, response, Buffer.concat(chunks)),
      );
    });
  }

  start() {
    return new Promise((resolve) =>
      this.server.listen(this.options.port, "127.0.0.1", resolve)
    );
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  models() {
    return [...this.versions].map(([name, version]) => ({
      name,
      version,
      adapters: [],
    }));
  }

  publish() {
    const { id, service, port, slots, software, zone = "zone-a" } =
      this.options;
    this.platform.store.publish("keyed.servers", id, {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: software,
      slots,
      state: this.state,
      coldLeftMs: 0,
      sequence: ++this.sequence,
      born: this.born,
      ...(this.options.models.length > 0
        ? { stage: "dual", models: this.models() }
        : {}),
    });
  }

  async handle(request, response, body) {
    const { id, slots, queue } = this.options;
    const attempt = request.headers["x-briarhill-attempt-id"] ?? "";
    const expected = request.headers["x-briarhill-expected-instance"];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {
        "X-Briarhill-Attempt-Id": attempt,
        "Content-Length": 0,
      }).end();
      return;
    }
    if (request.url === "/healthz") {
      response.writeHead(200, {
        "X-Briarhill-Instance-Id": id,
        "Content-Length": 0,
      }).end();
      return;
    }
    if (request.url === "/briarhill/report") {
      const report = {
        stage: "dual",
        models: this.models(),
        busy: this.isBusy,
        sequence: this.orderCount,
        waiting: 0,
        running: this.running,
        kvUsed: 0,
        kvTotal: 100_000,
        handles: 0,
        born: this.born,
      };
      response.writeHead(200, { "Content-Type": "application/json" }).end(
        JSON.stringify(report),
      );
      return;
    }
    if (request.url === "/briarhill/order") {
      this.order(JSON.parse(body), response);
      return;
    }
    this.arrivals.push({ attempt, at: Date.now(), path: request.url });
    if (this.onRequest?.(request, response, { attempt, body }) === true) {
      return;
    }
    const answer = { "X-Briarhill-Attempt-Id": attempt };
    if (
      this.running >= slots + queue ||
      (this.isBusy && this.options.models.length > 0)
    ) {
      response.writeHead(503, {
        ...answer,
        [NOT_EXECUTED]: "1",
        "Content-Length": 0,
      }).end();
      return;
    }
    this.running++;
    const run = {
      attempt,
      at: Date.now(),
      path: request.url,
      from: request.headers["last-event-id"],
      closed: false,
    };
    this.runs.push(run);
    response.once("close", () => run.closed = true);
    try {
      await this.run(request, response, { attempt, body, run });
    } finally {
      this.running--;
    }
  }

  order(order, response) {
    if (
      this.isBusy ||
      (order.expected !== undefined && order.expected !== this.orderCount)
    ) {
      response.writeHead(409, { "Content-Length": 0 }).end();
      return;
    }
    this.orders.push({ ...order, at: Date.now(), server: this.options.id });
    this.platform.note(
      `order at ${this.options.id}: holder ${order.holder}, token ${order.fencingToken}, ${order.model} version ${order.version}`,
    );
    this.orderCount++;
    this.isBusy = true;
    setTimeout(() => {
      this.isBusy = false;
      this.versions.set(
        order.model,
        Math.max(order.version, this.versions.get(order.model) ?? 1),
      );
      this.publish();
    }, this.options.loadMs).unref();
    response.writeHead(202, { "Content-Length": 0 }).end();
  }

  async run(request, response, { attempt, body }) {
    const { id, workMs, events, eventMs, models } = this.options;
    const signed = {
      "X-Briarhill-Attempt-Id": attempt,
      "X-Briarhill-Server-Signature": `${id}.${attempt}`,
    };
    const isStream = models.length > 0 || this.options.isStream === true;
    if (!isStream) {
      await sleep(workMs);
      const text = Buffer.from(`${id} ${attempt} ${body}`);
      response.writeHead(200, { ...signed, "Content-Length": text.length }).end(
        text,
      );
      return;
    }
    const model = request.headers["x-briarhill-model"] ?? models[0];
    response.writeHead(200, {
      ...signed,
      "Content-Type": "text/event-stream",
      "X-Briarhill-Weight-Versions": String(this.versions.get(model) ?? 1),
    });
    response.flushHeaders();
    const last = request.headers["last-event-id"];
    for (
      let event = last === undefined ? 0 : Number(last) + 1;
      event < events && !response.destroyed;
      event++
    ) {
      await sleep(eventMs);
      response.write(`id: ${event}\ndata: ${this.text(attempt, event)}\n\n`);
    }
    response.end();
  }

  text(attempt, event) {
    return `${attempt}.${event}`;
  }
}
