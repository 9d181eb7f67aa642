import { Logger } from "@briarhill/common/logging/logger";
import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { HttpListener } from "../../src/http/http_listener.ts";

const SEED = 75;
const RUNS = 300;
const TEST_TIMEOUT_MS = 60_000;
const VALID_REQUEST = "GET /good HTTP/1.1\r\nhost: h\r\n\r\n";
const REQUESTS = [
  VALID_REQUEST,
  "POST /good HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc",
  "GET //[ HTTP/1.1\r\nhost: h\r\n\r\n",
  "GET /%ff%zz HTTP/1.1\r\nhost: h\r\n\r\n",
  "GET http://[x/ HTTP/1.1\r\nhost: h\r\n\r\n",
  "OPTIONS * HTTP/1.1\r\nhost: h\r\n\r\n",
  "PUT /good HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
  "GET /good HTTP/9.9\r\n\r\n",
  "CONNECT h:1 HTTP/1.1\r\nhost: h\r\n\r\n",
  "GET /good HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
];

/** Generates requests of the corpus, some with inserted bytes, and arbitrary bytes. */
function createBytes(): fc.Arbitrary<Uint8Array> {
  const noise = fc.uint8Array({ maxLength: 12 });
  const mutated = fc.tuple(fc.constantFrom(...REQUESTS), fc.nat(), noise).map(
    ([text, place, inserted]) => {
      const at = place % text.length;
      const rest = Buffer.from(text.slice(at), "latin1");
      return Buffer.concat([Buffer.from(text.slice(0, at)), inserted, rest]);
    },
  );
  const unchanged = fc.constantFrom(...REQUESTS).map((text) =>
    Buffer.from(text)
  );
  return fc.oneof(unchanged, mutated, fc.uint8Array({ maxLength: 300 }));
}

describe("HttpListener", { timeout: TEST_TIMEOUT_MS }, () => {
  const listener = new HttpListener(Logger.create({}));
  let port = 0;
  before(async () => {
    listener.addRoute("GET", "/good", (exchange) => {
      exchange.sendJson(200, {});
    });
    port = await listener.start({ address: "127.0.0.1", port: 0 });
  });
  after(async () => {
    listener.closeAll();
    await listener.stop();
  });

  /** Sends bytes, closes the sending side of the socket and returns the response. */
  async function send(bytes: Uint8Array): Promise<string> {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk) => text += chunk.toString("latin1"));
    socket.on("error", () => undefined);
    socket.end(bytes);
    await once(socket, "close");
    return text;
  }

  it("rejects a request whose target is not a valid URL, with the outcome not-run", async () => {
    const text = await send(Buffer.from(REQUESTS[2] ?? ""));
    assert.match(text, /^HTTP\/1.1 404 /);
    assert.match(text, /"outcome":"not-run"/);
  });

  it("survives any bytes and still serves valid requests", () =>
    fc.assert(
      fc.asyncProperty(createBytes(), async (bytes) => {
        const text = await send(bytes);
        assert.ok(text === "" || text.startsWith("HTTP/1.1 "), text);
        assert.doesNotMatch(text, /^HTTP\/1.1 500 /);
        assert.match(await send(Buffer.from(VALID_REQUEST)), /^HTTP\/1.1 200 /);
      }),
      { seed: SEED, numRuns: RUNS },
    ));
});
