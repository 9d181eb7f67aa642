/**
 * The stand-in list of endpoints over HTTP.
 * @module
 */
import { createHash } from "node:crypto";
import type { Exchange } from "../http/exchange.ts";
import { FakeServer } from "../http/fake_server.ts";
import type { FakeHostList } from "./fake_host_list.ts";

const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;

/** The stand-in list of endpoints over HTTP: `GET /endpoints`, with tags. */
export class FakeHostListServer extends FakeServer {
  readonly #hosts: FakeHostList;

  constructor(hosts: FakeHostList, port = 0) {
    super(hosts.faults, port);
    this.#hosts = hosts;
  }

  protected override getOperation(): string {
    return "getEndpoints";
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    if (!exchange.isFor("GET /endpoints")) {
      return exchange.sendJson(404, { title: "no such path" });
    }
    const text = JSON.stringify({
      endpoints: await this.#hosts.getEndpoints(),
    });
    const tag = `"${createHash("sha256").update(text).digest("base64url")}"`;
    const isKnown = exchange.request.headers["if-none-match"] === tag;
    exchange.response.setHeader("etag", tag);
    if (isKnown) {
      exchange.response.writeHead(STATUS_NOT_MODIFIED).end();
      return;
    }
    exchange.sendText(STATUS_OK, text);
  }
}
