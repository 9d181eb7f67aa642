/**
 * The stand-in service over HTTP.
 * @module
 */
import type { Exchange } from "../http/exchange.ts";
import { FakeServer } from "../http/fake_server.ts";
import type { FakeService } from "./fake_service.ts";

/** The stand-in service over HTTP; all paths but `GET /load` are calls. */
export class FakeServiceServer extends FakeServer {
  readonly #service: FakeService;

  constructor(service: FakeService, port = 0) {
    super(service.faults, port);
    this.#service = service;
  }

  protected override getOperation(exchange: Exchange): string {
    return exchange.isFor("GET /load") ? "getLoad" : "call";
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    if (exchange.isFor("GET /load")) {
      return exchange.sendJson(200, await this.#service.getLoad());
    }
    if (exchange.isFor("POST /leave")) {
      this.#service.setLeaving();
      return exchange.sendJson(200, {});
    }
    const answer = await this.#service.call({
      method: exchange.method,
      path: exchange.url.pathname + exchange.url.search,
      headers: toFlatHeaders(exchange),
      body: exchange.request,
    });
    exchange.response.writeHead(answer.status, { ...answer.headers });
    for await (const part of answer.body) {
      exchange.response.write(part);
    }
    exchange.close();
  }

  /** Any body is a good one for a service, so that the head itself is broken. */
  protected override sendMalformed(exchange: Exchange): void {
    exchange.request.socket.end("no head of an answer\r\n\r\n");
  }
}

function toFlatHeaders(exchange: Exchange): Readonly<Record<string, string>> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(exchange.request.headers)) {
    flat[name] = Array.isArray(value) ? value.join(", ") : value ?? "";
  }
  return flat;
}
