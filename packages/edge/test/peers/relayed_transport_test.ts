import { ResponseMemory } from "@briarhill/common/http/response_memory";
import { listUnusualResponses } from "@briarhill/common/testing/unusual_responses";
import { listMalformedResponses } from "@briarhill/common/testing/malformed_responses";
import { Logger, setLogWriter } from "@briarhill/common/logging/logger";
import { SystemClock } from "@briarhill/common/time/system_clock";
import assert from "node:assert/strict";
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RelayedTransport } from "../../src/peers/relayed_transport.ts";

setLogWriter(() => undefined);

const CALL_TIMEOUT_MS = 800;
/** Far below the timeout of a call; a busy machine delays timers. */
const AT_ONCE_MS = 400;
const CALLS = 25;
const CALL_INTERVAL_MS = 100;
const RESET_ROUNDS = 10;

async function startServer(handle: RequestListener): Promise<Server> {
  const server = createServer(handle);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

function getAddress(server: Server) {
  const { port } = server.address() as AddressInfo;
  return { hostname: "127.0.0.1", port };
}

describe("RelayedTransport.call while the store is silent to this host", () => {
  /** Once a second a call that changes something was spent on the silent store, and failed after its timeout. */
  it("sends all calls after the first over another host, and returns to the store when it answers", async () => {
    let isSilent = true;
    const direct: string[] = [];
    const store = await startServer((request, response) => {
      direct.push(request.url ?? "");
      isSilent || response.end("store");
    });
    const peer = await startServer((_, response) => response.end("peer"));
    const transport = new RelayedTransport({
      internalResponses: new ResponseMemory({ limitBytes: 1_000_000 }),
      store: getAddress(store),
      clock: new SystemClock(),
      logger: Logger.create({}),
      listPeers: () => [getAddress(peer)],
    });
    const call = (number: number) =>
      transport.call({
        method: "POST",
        path: `/call-${number}`,
        timeoutMs: CALL_TIMEOUT_MS,
        mayRelay: true,
      });
    await assert.rejects(call(0));
    for (let number = 1; number <= CALLS; number++) {
      const startMs = performance.now();
      const { body } = await call(number);
      assert.equal(body.toString(), "peer");
      assert.ok(performance.now() - startMs < AT_ONCE_MS, `call ${number}`);
      await sleep(CALL_INTERVAL_MS);
    }
    assert.ok(direct.every((path) => !/call-[1-9]/.test(path)), `${direct}`);
    isSilent = false;
    let answer = "";
    for (let number = 1; number <= CALLS && answer !== "store"; number++) {
      answer = (await call(100 + number)).body.toString();
      await sleep(CALL_INTERVAL_MS);
    }
    assert.equal(answer, "store");
    transport.close();
    [store, peer].forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  });
});

describe("RelayedTransport.call with a response that ends with its connection", () => {
  /** A host took a part of a page of the log for the whole of it. */
  it("rejects a response of the store that is reset before its last bytes are read", async () => {
    const store = await startServer(({ socket }) => {
      socket.write(
        "HTTP/1.1 200 OK\r\n\r\npart",
        () => socket.resetAndDestroy(),
      );
    });
    const transport = new RelayedTransport({
      internalResponses: new ResponseMemory({ limitBytes: 1_000_000 }),
      store: getAddress(store),
      clock: new SystemClock(),
      logger: Logger.create({}),
      listPeers: () => [],
    });
    const results = await Promise.allSettled(
      Array.from({ length: RESET_ROUNDS }, () =>
        transport.callDirect({
          method: "GET",
          path: "/",
          timeoutMs: CALL_TIMEOUT_MS,
          mayRelay: false,
        })),
    );
    transport.close();
    store.close();
    assert.ok(results.every(({ status }) => status === "rejected"));
  });
});

describe("RelayedTransport.call with bytes that are no HTTP response", () => {
  /** A host read records, or the outcome of an append, from bytes that the store had not sent. */
  it("rejects them, and returns unusual responses", async () => {
    let text = "";
    const store = createTcpServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", () => socket.end(text, "latin1"));
    });
    await new Promise<void>((resolve) => store.listen(0, "127.0.0.1", resolve));
    const { port } = store.address() as AddressInfo;
    const transport = new RelayedTransport({
      internalResponses: new ResponseMemory({ limitBytes: 1_000_000 }),
      store: { hostname: "127.0.0.1", port },
      clock: new SystemClock(),
      logger: Logger.create({}),
      listPeers: () => [],
    });
    const content = { headers: ["Connection: close"], body: "[1]" };
    const call = {
      method: "POST",
      path: "/",
      timeoutMs: CALL_TIMEOUT_MS,
      mayRelay: false,
    } as const;
    for (const malformed of listMalformedResponses(content)) {
      text = malformed.text;
      const outcome = await transport.callDirect(call)
        .then(({ body }) => body.toString(), (error) => error.outcome);
      assert.equal(outcome, "unknown", malformed.title);
    }
    for (const unusual of listUnusualResponses(content)) {
      text = unusual.text;
      const { body } = await transport.callDirect(call);
      assert.equal(body.toString(), "[1]", unusual.title);
    }
    transport.close();
    store.close();
  });
});
