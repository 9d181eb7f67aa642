/**
 * The stand-in engine over HTTP.
 * @module
 */
import { z } from "zod";
import type { Exchange } from "../http/exchange.ts";
import { FakeServer } from "../http/fake_server.ts";
import type { FakeEngine } from "./fake_engine.ts";
import { ENGINE_ORDER, GENERATE_REQUEST } from "./request_schema.ts";

const OPERATIONS: Readonly<Record<string, string>> = {
  "/generate": "generate",
  "/order": "order",
  "/cancel": "cancel",
  "/kv/export": "exportKv",
  "/load": "getLoad",
  "/state": "getState",
  "/cache_events": "getCacheEvents",
};
const REQUEST_ID = z.object({ requestId: z.string() });

/** The stand-in engine over HTTP; `POST /leave` makes it say that it is leaving. */
export class FakeEngineServer extends FakeServer {
  readonly #engine: FakeEngine;

  constructor(engine: FakeEngine, port = 0) {
    super(engine.faults, port);
    this.#engine = engine;
  }

  protected override getOperation(exchange: Exchange): string {
    return OPERATIONS[exchange.url.pathname] ?? "";
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    if (exchange.isFor("POST /generate")) {
      return await this.#generate(exchange);
    }
    const answer = exchange.method === "GET"
      ? await this.#read(exchange)
      : await this.#apply(exchange);
    if (answer === undefined) {
      return exchange.sendJson(404, { title: "no such path" });
    }
    exchange.sendJson(200, answer);
  }

  async #generate(exchange: Exchange): Promise<void> {
    const request = await exchange.readJson(GENERATE_REQUEST);
    const { response } = exchange;
    for await (const chunk of this.#engine.generateUnchecked(request)) {
      if (response.destroyed) {
        return;
      }
      if (!response.headersSent) {
        response.writeHead(200, { "content-type": "application/x-ndjson" });
      }
      response.write(JSON.stringify(chunk) + "\n");
    }
    exchange.close();
  }

  async #read(exchange: Exchange): Promise<unknown> {
    switch (exchange.url.pathname) {
      case "/load":
        return await this.#engine.getLoad();
      case "/state":
        return await this.#engine.getState();
      case "/cache_events": {
        const after = exchange.getNumber("after") ?? 0;
        return { events: await this.#engine.getCacheEvents(after) };
      }
    }
  }

  async #apply(exchange: Exchange): Promise<unknown> {
    switch (exchange.url.pathname) {
      case "/order":
        return await this.#engine.order(
          await exchange.readJson(ENGINE_ORDER),
        );
      case "/cancel":
        await this.#engine.cancel(await readRequestId(exchange));
        return {};
      case "/kv/export":
        return {
          reference: await this.#engine.exportKv(
            await readRequestId(exchange),
          ),
        };
      case "/leave":
        this.#engine.setLeaving();
        return {};
    }
  }
}

async function readRequestId(exchange: Exchange): Promise<string> {
  return (await exchange.readJson(REQUEST_ID)).requestId;
}
