// Small stand-ins for servers: plain services and engines.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

export class Server {
  version = "v1";
  state = "ready";
  runs = [];
  orders = [];
  eventMs = 20;
  events = 10;
  workMs = 10;
  loadMs = 900;
  isDown = false;
  /** The number of requests that run. */
  running = 0;
  // Requests that wait for a slot.
  #queue = [];
  #sequence = 0;
  #orderCount = 0;
  #isLoading = false;
  sockets = new Set();
  // Connections that stay open and carry nothing any more.
  silent = new WeakSet();
  keepAliveMs = 60_000;
  server = createServer((request, response) =>
    this.#handle(request, response).catch(() => response.destroy())
  );

  constructor({ id, service, ip, port, models = [], slots = 8 }) {
    Object.assign(this, { id, service, ip, port, slots });
    this.models = new Map(models.map((name) => [name, 1]));
    this.born = Date.now();
  }

  start() {
    this.server.keepAliveTimeout = this.keepAliveMs;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.sockets.delete(socket));
    });
    return new Promise((resolve) =>
      this.server.listen(this.port, this.ip, resolve)
    );
  }

  // All open connections fall silent for good; new ones work.
  silence() {
    this.sockets.forEach((socket) => {
      this.silent.add(socket);
      // What the server still writes goes nowhere.
      socket.cork();
    });
    return this.sockets.size;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  entry() {
    return {
      service: this.service,
      address: this.advertised ?? `${this.ip}:${this.port}`,
      zone: "a",
      version: this.version,
      slots: this.slots,
      state: this.state,
      coldLeftMs: 0,
      stage: "dual",
      models: this.#listModels(),
      sequence: ++this.#sequence,
      born: this.born,
    };
  }

  #listModels() {
    return [...this.models].map(([name, version]) => ({
      name,
      version,
      adapters: [],
    }));
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    if (this.silent.has(request.socket)) {
      return;
    }
    const expected = request.headers["x-briarhill-expected-instance"];
    const sendJson = (status, value) =>
      response.writeHead(status, { "Content-Type": "application/json" })
        .end(JSON.stringify(value));
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "X-Briarhill-Instance-Id": this.id }).end();
    } else if (request.url === "/healthz") {
      response.writeHead(200, { "X-Briarhill-Instance-Id": this.id }).end();
    } else if (request.url === "/briarhill/report") {
      sendJson(200, {
        stage: "dual",
        models: this.#listModels(),
        busy: this.#isLoading,
        sequence: this.#orderCount,
        waiting: 0,
        running: 0,
        kvUsed: 0,
        kvTotal: 90_000,
        handles: 0,
        born: this.born,
      });
    } else if (request.url === "/briarhill/order") {
      this.#order(JSON.parse(body.toString()), request, response);
    } else {
      await this.#run(request, response, body);
    }
  }

  #order(order, request, response) {
    const from = request.socket.remoteAddress;
    this.orders.push({ ...order, from, atMs: Date.now() });
    const { model, version, expected = this.#orderCount } = order;
    if ((this.models.get(model) ?? 0) >= version) {
      response.writeHead(200).end();
      return;
    }
    if (this.#isLoading || expected !== this.#orderCount) {
      response.writeHead(409).end();
      return;
    }
    this.#orderCount++;
    this.#isLoading = true;
    setTimeout(() => {
      this.#isLoading = false;
      this.models.set(model, version);
    }, this.loadMs).unref();
    response.writeHead(202).end();
  }

  async #run(request, response, body) {
    const id = request.headers["x-briarhill-attempt-id"] ?? "";
    const headers = {
      "X-Briarhill-Attempt-Id": id,
      "X-Briarhill-Server-Signature": `${this.id}.${id}`,
    };
    if (this.#isLoading && this.models.size > 0) {
      response.writeHead(503, { ...headers, "X-Briarhill-Not-Executed": "1" })
        .end();
      return;
    }
    const run = {
      id,
      arrivedMs: Date.now(),
      path: request.url,
      from: request.socket.remoteAddress,
      lastEvent: request.headers["last-event-id"],
      atMs: Date.now(),
      server: this.id,
    };
    this.runs.push(run);
    await this.#takeSlot();
    run.startedMs = Date.now();
    headers["X-Briarhill-Server-Load"] =
      `${this.running},${this.#queue.length},${this.slots}`;
    try {
      await this.#respond(request, response, { headers, run, body });
    } finally {
      run.endedMs = Date.now();
      this.#releaseSlot();
    }
  }

  async #takeSlot() {
    if (this.running >= this.slots) {
      // The slot is handed over by the request that ends.
      await new Promise((resolve) => this.#queue.push(resolve));
      return;
    }
    this.running++;
  }

  #releaseSlot() {
    const next = this.#queue.shift();
    next === undefined ? this.running-- : next();
  }

  async #respond(request, response, { headers, run, body }) {
    if (this.models.size > 0) {
      await this.#stream(request, response, { headers, run });
      return;
    }
    await sleep(this.workMs);
    response.writeHead(200, { ...headers, "Content-Length": body.length })
      .end(body);
  }

  async #stream(request, response, { headers, run }) {
    const model = request.headers["x-briarhill-model"] ??
      [...this.models.keys()][0];
    const first = run.lastEvent === undefined ? 0 : Number(run.lastEvent) + 1;
    response.writeHead(200, {
      ...headers,
      "Content-Type": "text/event-stream",
      "X-Briarhill-Weight-Versions": String(this.models.get(model) ?? 1),
    });
    response.flushHeaders();
    for (let event = first; event < this.events; event++) {
      await sleep(this.eventMs);
      if (response.destroyed) {
        run.isCut = true;
        return;
      }
      response.write(`id: ${event}\ndata: ${this.text(event)}\n\n`);
    }
    run.isWhole = true;
    response.end();
  }

  text(event) {
    return `e${event}`;
  }
}
