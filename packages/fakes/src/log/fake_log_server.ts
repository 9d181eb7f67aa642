/**
 * The stand-in log over HTTP.
 * @module
 */
import type { Exchange } from "../http/exchange.ts";
import { FakeServer } from "../http/fake_server.ts";
import type { FakeLog } from "./fake_log.ts";

/** The stand-in log over HTTP: `POST` and `GET /streams/NAME`. */
export class FakeLogServer extends FakeServer {
  readonly #log: FakeLog;

  constructor(log: FakeLog, port = 0) {
    super(log.faults, port);
    this.#log = log;
  }

  protected override getOperation(exchange: Exchange): string {
    return exchange.method === "POST" ? "append" : "read";
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    const [root, stream] = exchange.path;
    if (root !== "streams" || stream === undefined) {
      return exchange.sendJson(404, { title: "no such path" });
    }
    if (exchange.method === "POST") {
      const value = await exchange.readText();
      const offset = await this.#log.append(stream, value);
      return exchange.sendJson(200, { offset });
    }
    const gone = new AbortController();
    exchange.response.once("close", () => gone.abort());
    const page = await this.#log.readUnchecked(stream, {
      from: exchange.getNumber("from") ?? 0,
      limit: exchange.getNumber("limit") ?? Number.MAX_SAFE_INTEGER,
      waitMs: exchange.getNumber("wait_ms") ?? 0,
      signal: gone.signal,
    });
    exchange.sendJson(200, page);
  }
}
