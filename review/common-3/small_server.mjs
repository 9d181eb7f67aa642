/**
 * A server of one service that answers its reports and registers itself; a case decides
 * how it answers requests.
 * @module
 */
import { ENDPOINT_TOPIC } from "@briarhill/platform/names/topics";
import { createServer } from "node:http";

const SERVER_IP = "127.0.0.1";
/** Servers write to the store about this often, in milliseconds. */
const HEARTBEAT_MS = 1_200;

/** A small server. */
export class SmallServer {
  id;
  #options;
  #server = createServer((...exchange) => this.#handle(...exchange));
  #bornMs = Date.now();
  #sequence = 0;
  #timer;

  /**
   * @param options - The server's id, its service, its models, and `answer`, which is
   * called with each request that it runs, its id and the response.
   */
  constructor(options) {
    this.id = options.id;
    this.#options = options;
    // Without it, the runtime drops headers beyond a count.
    this.#server.maxHeadersCount = 0;
  }

  /** Listens and registers. */
  async start(store) {
    await new Promise((resolve) => this.#server.listen(0, SERVER_IP, resolve));
    const publish = () =>
      store.publish(ENDPOINT_TOPIC, this.id, this.#createEntry());
    publish();
    this.#timer = setInterval(publish, HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #listModels() {
    return this.#options.models.map((name) => ({
      name,
      version: 1,
      adapters: [],
    }));
  }

  #createEntry() {
    return {
      service: this.#options.service,
      address: `${SERVER_IP}:${this.#server.address().port}`,
      zone: "a",
      version: "v1",
      slots: 8,
      state: "ready",
      coldLeftMs: 0,
      models: this.#listModels(),
      sequence: ++this.#sequence,
      born: this.#bornMs,
    };
  }

  #handle(request, response) {
    const attemptId = request.headers["x-briarhill-attempt-id"];
    const expected = request.headers["x-briarhill-expected-instance"];
    request.resume();
    request.on("end", () => {
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421).end();
      } else if (request.url === "/briarhill/report") {
        response.writeHead(200, { "content-type": "application/json" });
        response.end(JSON.stringify({
          models: this.#listModels(),
          busy: false,
          sequence: 0,
          born: this.#bornMs,
        }));
      } else if (attemptId === undefined) {
        response.writeHead(200, { "content-length": 0 }).end();
      } else {
        this.#options.answer(request, attemptId, response);
      }
    });
  }
}
