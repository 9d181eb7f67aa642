/**
 * A sound server of a plain service: it echoes the id of a request, signs its
 * answers, rejects requests for another server, and publishes its entry.
 * @module
 */
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** The heartbeat interval of the site. */
const HEARTBEAT_MS = 1_200;
/** An entry is removed after three heartbeat intervals of silence. */
const LAPSE_MS = 3 * HEARTBEAT_MS;

export class PlainServer {
  /**
   * @param run - The run that records what arrives.
   * @param options - id, service, port, and the duration of a request.
   */
  constructor(run, { id, service, port, workMs, slots = 6 }) {
    Object.assign(this, { run, id, service, port, workMs, slots });
    /** The requests that were run, by id: how often, and when they arrived. */
    this.runs = new Map();
    this.bornMs = Date.now();
    this.sequence = 0;
    this.running = 0;
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 30_000;
  }

  start() {
    const beat = setInterval(() => this.publish(), HEARTBEAT_MS);
    this.run.closers.push(() => {
      clearInterval(beat);
      this.server.closeAllConnections();
      this.server.close();
    });
    this.publish();
    return new Promise((resolve) =>
      this.server.listen(this.port, "127.0.0.1", resolve)
    );
  }

  publish() {
    this.lastBeatMs = Date.now();
    this.run.store.publish("keyed.servers", this.id, this.createEntry());
  }

  /** Lets the store remove an entry that its server no longer writes. */
  lapse(id) {
    const afterMs = this.lastBeatMs + LAPSE_MS - Date.now();
    return setTimeout(
      () => this.run.store.publish("keyed.servers", id, undefined),
      Math.max(0, afterMs),
    );
  }

  createEntry() {
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: "a",
      version: "1.0",
      slots: this.slots,
      state: "ready",
      coldLeftMs: 0,
      sequence: ++this.sequence,
      born: this.bornMs,
    };
  }

  async handle(request, response) {
    const chunks = [];
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    request.on("data", (chunk) => chunks.push(chunk));
    await new Promise((resolve) =>
      request.once("end", resolve).once("close", resolve)
    );
    const body = Buffer.concat(chunks);
    const id = request.headers["x-briarhill-attempt-id"] ?? "";
    const headers = { "X-Briarhill-Attempt-Id": id };
    const expected = request.headers["x-briarhill-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...headers, "Content-Length": 0 }).end();
      return;
    }
    if (request.url === "/healthz") {
      response.writeHead(200, {
        "X-Briarhill-Instance-Id": this.id,
        "Content-Length": 0,
      }).end();
      return;
    }
    await this.serve({ request, response, id, headers, body });
  }

  async serve({ response, id, headers, body }) {
    this.runs.set(id, [...this.runs.get(id) ?? [], Date.now()]);
    this.running++;
    await sleep(this.workMs);
    this.running--;
    response.writeHead(200, {
      ...headers,
      "X-Briarhill-Server-Signature": `${this.id}.${id}`,
      "X-Briarhill-Server-Load": `${this.running},0,${this.slots}`,
      "Content-Length": body.length,
    });
    response.end(body);
  }
}
