import { PortError, type PortFault } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { z } from "zod";
import { type HttpCall, HttpClient } from "../../src/http/http_client.ts";
import { createAnswer, type RawHandler, startRawServer } from "./raw_server.ts";

const SCHEMA = z.object({ n: z.number() });
const GOOD = createAnswer('{"n":1}');
const HUGE = createAnswer(`{"n":${"1".repeat(2000)}}`);

function createCall(options: Partial<HttpCall> = {}): HttpCall {
  return { operation: "get", method: "POST", path: "/n", ...options };
}

async function withClient(
  handle: RawHandler,
  run: (client: HttpClient) => Promise<void>,
): Promise<number> {
  const server = await startRawServer(handle);
  const client = new HttpClient("test", server.address, {
    firstByteTimeoutMs: 300,
    progressTimeoutMs: 300,
    maxReplyBytes: 1000,
  });
  try {
    await run(client);
  } finally {
    await client.abort();
    await server.close();
  }
  return server.countRequests();
}

async function getEnding(
  result: Promise<unknown>,
): Promise<readonly [PortFault, Outcome] | "ok"> {
  try {
    await result;
    return "ok";
  } catch (error) {
    assert(error instanceof PortError, String(error));
    return [error.fault, error.outcome];
  }
}

describe("HttpClient", () => {
  function doTest(
    name: string,
    handle: RawHandler,
    ending: readonly [PortFault, Outcome] | "ok",
  ): void {
    it(`${name}, once`, async () => {
      const requests = await withClient(handle, async (client) => {
        const found = await getEnding(client.fetchJson(createCall(), SCHEMA));
        assert.deepEqual(found, ending);
      });
      assert.equal(requests, 1);
    });
  }

  const problem = (fields: object) => JSON.stringify(fields);
  doTest("reads an answer", (socket) => socket.write(GOOD), "ok");
  doTest("is reset when the request has arrived", (socket) => {
    socket.resetAndDestroy();
  }, ["reset", "unknown"]);
  doTest("meets a closed connection", (socket) => {
    socket.end();
  }, ["reset", "unknown"]);
  doTest("meets silence", () => undefined, ["silent", "unknown"]);
  doTest("meets silence in the head", (socket) => {
    socket.write("HTTP/1.1 200 X\r\ncontent-");
  }, ["silent", "unknown"]);
  doTest("meets silence in the body", (socket) => {
    socket.write(GOOD.slice(0, -2));
  }, ["silent", "ran"]);
  doTest("is cut off in the body", (socket) => {
    socket.end(GOOD.slice(0, -2));
  }, ["reset", "ran"]);
  doTest("gets no HTTP", (socket) => {
    socket.end("SSH-2.0-x\r\n");
  }, ["malformed", "unknown"]);
  doTest("gets an answer of another form", (socket) => {
    socket.write(createAnswer('{"n":"1"}'));
  }, ["malformed", "unknown"]);
  doTest("gets an answer that is too long", (socket) => {
    socket.write(HUGE);
  }, ["malformed", "ran"]);
  doTest("believes a refusal that says not run", (socket) => {
    socket.write(createAnswer(problem({ outcome: "not-run" }), 503));
  }, ["rejected", "not-run"]);
  doTest("doesn't take a bare 503 for not run", (socket) => {
    socket.write(createAnswer("busy", 503));
  }, ["rejected", "unknown"]);
  doTest("doesn't follow redirections", (socket) => {
    socket.write(createAnswer("", 307));
  }, ["rejected", "unknown"]);

  it("never gives one call the answer of another", async () => {
    const late = createAnswer('{"n":99}');
    await withClient((socket, request) => {
      // The second copy of the first answer arrives unasked.
      socket.write(request === 1 ? late + late : GOOD);
    }, async (client) => {
      const first = await client.fetchJson(createCall(), SCHEMA);
      const second = await client.fetchJson(createCall(), SCHEMA);
      assert.deepEqual([first.n, second.n], [99, 1]);
    });
  });

  it("drops an answer that comes after its call was given up", async () => {
    await withClient((socket, request) => {
      const answer = request === 1 ? createAnswer('{"n":99}') : GOOD;
      setTimeout(() => socket.write(answer), request === 1 ? 200 : 0);
    }, async (client) => {
      const signal = AbortSignal.timeout(50);
      const first = client.fetchJson(createCall({ signal }), SCHEMA);
      assert.deepEqual(await getEnding(first), ["cancelled", "unknown"]);
      await new Promise((resolve) => setTimeout(resolve, 250));
      const second = await client.fetchJson(createCall(), SCHEMA);
      assert.equal(second.n, 1);
    });
  });

  it("sends nothing for a call that was given up before", async () => {
    const requests = await withClient(() => undefined, async (client) => {
      const call = createCall({ signal: AbortSignal.abort() });
      const ending = await getEnding(client.fetchJson(call, SCHEMA));
      assert.deepEqual(ending, ["cancelled", "not-run"]);
    });
    assert.equal(requests, 0);
  });

  it("dials anew after a kept connection was reset while idle", async () => {
    await withClient((socket) => {
      socket.write(GOOD);
      setTimeout(() => socket.resetAndDestroy(), 10);
    }, async (client) => {
      for (let round = 0; round < 3; round++) {
        assert.equal((await client.fetchJson(createCall(), SCHEMA)).n, 1);
        await new Promise((resolve) => setTimeout(resolve, 300));
      }
    });
  });

  it("gives every one of many parallel calls its own answer", async () => {
    await withClient((socket, request) => {
      const answer = createAnswer(`{"n":${request}}`);
      setTimeout(() => socket.write(answer), (request * 7) % 20);
    }, async (client) => {
      const calls = Array.from(
        { length: 50 },
        () => client.fetchJson(createCall(), SCHEMA),
      );
      const numbers = (await Promise.all(calls)).map(({ n }) => n);
      assert.equal(new Set(numbers).size, 50);
    });
  });

  it("says not run when a connection can't be made", async () => {
    const server = await startRawServer(() => undefined);
    await server.close();
    const client = new HttpClient("test", server.address);
    const ending = await getEnding(client.fetchJson(createCall(), SCHEMA));
    assert.deepEqual(ending, ["refused", "not-run"]);
  });
});
