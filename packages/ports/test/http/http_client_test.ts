import { PortError, type PortFault } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { z } from "zod";
import { type HttpCall, HttpClient } from "../../src/http/http_client.ts";
import {
  createResponse,
  type RawHandler,
  startRawServer,
} from "./raw_server.ts";

const SCHEMA = z.object({ n: z.number() });
const VALID_RESPONSE = createResponse('{"n":1}');
const OVERSIZED_RESPONSE = createResponse(`{"n":${"1".repeat(2000)}}`);

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
    maxResponseBytes: 1000,
  });
  try {
    await run(client);
  } finally {
    await client.abort();
    await server.close();
  }
  return server.countRequests();
}

async function getCallResult(
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
    expected: readonly [PortFault, Outcome] | "ok",
  ): void {
    it(`${name}, after one request`, async () => {
      const requests = await withClient(handle, async (client) => {
        const actual = await getCallResult(
          client.fetchJson(createCall(), SCHEMA),
        );
        assert.deepEqual(actual, expected);
      });
      assert.equal(requests, 1);
    });
  }

  const formatProblem = (fields: object) => JSON.stringify(fields);
  doTest(
    "returns a valid response",
    (socket) => socket.write(VALID_RESPONSE),
    "ok",
  );
  doTest("returns a response after an informational one", (socket) => {
    socket.write(`HTTP/1.1 103 X\r\nlink: a\r\n\r\n${VALID_RESPONSE}`);
  }, "ok");
  doTest("reports a reset after the request was received", (socket) => {
    socket.resetAndDestroy();
  }, ["reset", "unknown"]);
  doTest("reports a connection closed without a response", (socket) => {
    socket.end();
  }, ["reset", "unknown"]);
  doTest("reports a missing response", () => undefined, ["silent", "unknown"]);
  doTest("reports a timeout in the response head", (socket) => {
    socket.write("HTTP/1.1 200 X\r\ncontent-");
  }, ["silent", "unknown"]);
  doTest("reports a timeout in the response body", (socket) => {
    socket.write(VALID_RESPONSE.slice(0, -2));
  }, ["silent", "ran"]);
  doTest("reports a truncated response body", (socket) => {
    socket.end(VALID_RESPONSE.slice(0, -2));
  }, ["reset", "ran"]);
  doTest("reports a response that is not HTTP", (socket) => {
    socket.end("SSH-2.0-x\r\n");
  }, ["malformed", "unknown"]);
  doTest("reports a response that does not match the schema", (socket) => {
    socket.write(createResponse('{"n":"1"}'));
  }, ["malformed", "unknown"]);
  doTest("reports an oversized response", (socket) => {
    socket.write(OVERSIZED_RESPONSE);
  }, ["malformed", "ran"]);
  doTest(
    "reports not-run for a rejection whose body reports not-run",
    (socket) => {
      socket.write(createResponse(formatProblem({ outcome: "not-run" }), 503));
    },
    ["rejected", "not-run"],
  );
  doTest("reports unknown for a 503 without a problem body", (socket) => {
    socket.write(createResponse("busy", 503));
  }, ["rejected", "unknown"]);
  doTest("does not follow redirects", (socket) => {
    socket.write(createResponse("", 307));
  }, ["rejected", "unknown"]);

  /** A part of a page passed as the whole of it. */
  const unframed = "HTTP/1.1 200 X\r\n\r\n";
  for (
    const head of [unframed, unframed.replace("1.1", "1.0")]
  ) {
    const name = `a response of ${head.slice(0, 8)} without a length`;
    doTest(`reports ${name} that is reset`, (socket) => {
      socket.write(
        `${head}{"n":1}`,
        () => setTimeout(() => socket.resetAndDestroy(), 20),
      );
    }, ["reset", "ran"]);
    doTest(
      `reports ${name} that is reset before its last bytes are read`,
      (socket) => {
        socket.write(`${head}{"n":1}`, () => socket.resetAndDestroy());
      },
      ["reset", "ran"],
    );
    doTest(
      `returns ${name} whose connection is closed`,
      (socket) => socket.end(`${head}{"n":1}`),
      "ok",
    );
  }

  /** Bytes that are no answer were read until a timeout that they kept from firing. */
  const chunkedHead = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n";
  for (
    const [name, begin, filler] of [
      ["blank lines before the head", "", "\r\n"],
      ["informational responses", "", "HTTP/1.1 103 X\r\n\r\n"],
      ["header lines", "HTTP/1.1 200 X\r\n", "x-a: b\r\n"],
      ["the size of a chunk", chunkedHead, "0"],
      ["the extension of a chunk", `${chunkedHead}5;`, "a"],
      ["the fields behind the last chunk", `${chunkedHead}0\r\n`, "x-a: b\r\n"],
      ["a body without a length", unframed, "1"],
    ] as const
  ) {
    it(`fails within its timeouts on a response with ${name} without end`, async () => {
      await withClient((socket) => {
        const bytes = filler.repeat(4_096);
        const write = () => {
          while (!socket.destroyed && socket.write(bytes));
        };
        socket.write(begin);
        socket.on("drain", write);
        write();
      }, async (client) => {
        const startMs = performance.now();
        const result = await getCallResult(
          client.fetchJson(createCall(), SCHEMA),
        );
        assert.notEqual(result, "ok");
        const tookMs = performance.now() - startMs;
        assert.ok(tookMs < 2_000, `took ${tookMs} ms`);
      });
    });
  }

  it("never returns the response of one call to another", async () => {
    const lateResponse = createResponse('{"n":99}');
    await withClient((socket, request) => {
      // The duplicate of the first response belongs to no request.
      socket.write(
        request === 1 ? lateResponse + lateResponse : VALID_RESPONSE,
      );
    }, async (client) => {
      const first = await client.fetchJson(createCall(), SCHEMA);
      const second = await client.fetchJson(createCall(), SCHEMA);
      assert.deepEqual([first.n, second.n], [99, 1]);
    });
  });

  it("drops a response that arrives after its call was cancelled", async () => {
    await withClient((socket, request) => {
      const response = request === 1
        ? createResponse('{"n":99}')
        : VALID_RESPONSE;
      setTimeout(() => socket.write(response), request === 1 ? 200 : 0);
    }, async (client) => {
      const signal = AbortSignal.timeout(50);
      const first = client.fetchJson(createCall({ signal }), SCHEMA);
      assert.deepEqual(await getCallResult(first), ["cancelled", "unknown"]);
      await new Promise((resolve) => setTimeout(resolve, 250));
      const second = await client.fetchJson(createCall(), SCHEMA);
      assert.equal(second.n, 1);
    });
  });

  it("sends nothing for a call that was cancelled before it started", async () => {
    const requests = await withClient(() => undefined, async (client) => {
      const call = createCall({ signal: AbortSignal.abort() });
      const result = await getCallResult(client.fetchJson(call, SCHEMA));
      assert.deepEqual(result, ["cancelled", "not-run"]);
    });
    assert.equal(requests, 0);
  });

  it("opens a new connection after an idle one was reset", async () => {
    await withClient((socket) => {
      socket.write(VALID_RESPONSE);
      setTimeout(() => socket.resetAndDestroy(), 10);
    }, async (client) => {
      for (let round = 0; round < 3; round++) {
        assert.equal((await client.fetchJson(createCall(), SCHEMA)).n, 1);
        await new Promise((resolve) => setTimeout(resolve, 300));
      }
    });
  });

  it("returns to each of 50 concurrent calls its own response", async () => {
    await withClient((socket, request) => {
      const response = createResponse(`{"n":${request}}`);
      setTimeout(() => socket.write(response), (request * 7) % 20);
    }, async (client) => {
      const calls = Array.from(
        { length: 50 },
        () => client.fetchJson(createCall(), SCHEMA),
      );
      const numbers = (await Promise.all(calls)).map(({ n }) => n);
      assert.equal(new Set(numbers).size, 50);
    });
  });

  it("reports not-run if the connection is refused", async () => {
    const server = await startRawServer(() => undefined);
    await server.close();
    const client = new HttpClient("test", server.address);
    const result = await getCallResult(client.fetchJson(createCall(), SCHEMA));
    assert.deepEqual(result, ["refused", "not-run"]);
  });
});
