/**
 * A sound model server: it runs items as streams of events, reports its state,
 * carries out orders, and drops a run when its connection closes.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { PlainServer } from "./plain_server.mjs";

const LOAD_MS = 300;

export class EngineServer extends PlainServer {
  /**
   * @param run - The run that records what arrives.
   * @param options - id, service, port, model, and the events of an item and their interval.
   */
  constructor(run, { model, events, eventMs, ...options }) {
    super(run, options);
    Object.assign(this, { model, events, eventMs });
    this.version = 1;
    this.orders = [];
    this.isBusy = false;
    /** Runs with the time and the event at which each began and ended. */
    this.streams = [];
  }

  createEntry() {
    return { ...super.createEntry(), models: this.listModels() };
  }

  listModels() {
    return [{ name: this.model, version: this.version, adapters: [] }];
  }

  async serve({ request, response, id, headers, body }) {
    if (request.url === "/briarhill/report") {
      const report = {
        stage: "dual",
        models: this.listModels(),
        busy: this.isBusy,
        sequence: this.orders.length,
        waiting: 0,
        running: this.running,
        kvUsed: 0,
        kvTotal: 100_000,
        handles: 0,
        born: this.bornMs,
      };
      response.writeHead(200, {
        ...headers,
        "Content-Type": "application/json",
      }).end(JSON.stringify(report));
      return;
    }
    if (request.url === "/briarhill/order") {
      this.order(JSON.parse(body.toString()), response);
      return;
    }
    await this.runStream({ request, response, id, headers });
  }

  order(order, response) {
    if (this.isBusy || order.expected !== this.orders.length) {
      response.writeHead(409, { "Content-Length": 0 }).end();
      return;
    }
    this.orders.push({ ...order, atMs: Date.now() });
    this.isBusy = true;
    setTimeout(() => {
      this.isBusy = false;
      this.version = order.version;
    }, LOAD_MS).unref();
    response.writeHead(202, { "Content-Length": 0 }).end();
  }

  formatEvent(id) {
    return `id: ${id}\ndata: t${id}\n\n`;
  }

  async runStream({ request, response, id, headers }) {
    const last = request.headers["last-event-id"];
    const from = last === undefined ? 0 : Number(last) + 1;
    const stream = { id, from, next: from, beganMs: Date.now(), endedMs: 0 };
    this.streams.push(stream);
    this.running++;
    response.once("close", () => {
      this.running--;
      stream.endedMs = Date.now();
    });
    response.writeHead(200, {
      ...headers,
      "X-Briarhill-Server-Signature": `${this.id}.${id}`,
      "X-Briarhill-Server-Load": `${this.running},0,${this.slots}`,
      "X-Briarhill-Weight-Versions": String(this.version),
      "Content-Type": "text/event-stream",
    });
    while (stream.next < this.events && !response.destroyed) {
      await sleep(this.eventMs);
      response.write(this.formatEvent(stream.next));
      stream.next++;
    }
    stream.isWhole = stream.next >= this.events;
    response.end();
  }
}
