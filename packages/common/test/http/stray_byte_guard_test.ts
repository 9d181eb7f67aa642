import assert from "node:assert/strict";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { describe, it } from "node:test";
import type { PortError } from "../../src/errors/errors.ts";
import { HttpSender } from "../../src/http/http_sender.ts";
import { ResponseMemory } from "../../src/http/response_memory.ts";

const HEAD = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n";
const ANSWER = `${HEAD}Content-Length: 6\r\n\r\nanswer`;

/** Writes the same bytes without a pause until the connection is closed. */
function writeEndlessly(socket: Socket, bytes: string): void {
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on("drain", write);
  write();
}

describe("HttpSender.send with bytes without end", () => {
  const HEAD_TIMEOUT_MS = 3_000;
  const BODY_TIMEOUT_MS = 3_000;
  const FILLER_BYTES = 32_768;
  /** Far below the timeouts; a busy machine delays timers. */
  const AT_ONCE_MS = 1_500;
  const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  function createSender(): HttpSender {
    return new HttpSender({
      port: "server",
      connectTimeoutMs: 500,
      maxConnections: 1,
      idleTimeoutMs: 60_000,
      maxBodyBytes: 1_000,
      memory: new ResponseMemory({ limitBytes: 1_000_000 }),
    });
  }

  function send(sender: HttpSender, server: Server): Promise<string> {
    const { port } = server.address() as AddressInfo;
    return sender.send({
      address: { hostname: "127.0.0.1", port },
      method: "GET",
      path: "/",
      headers: ["Host", "a"],
      headTimeoutMs: HEAD_TIMEOUT_MS,
    }, BODY_TIMEOUT_MS).then(
      ({ body }) => body.toString(),
      (error: PortError) => error.outcome,
    );
  }

  async function startServer(
    handle: (socket: Socket) => void,
  ): Promise<Server> {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => handle(socket));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    return server;
  }

  /** A host read hundreds of megabytes a second, with its processor busy, until a timeout. */
  for (
    const [name, begin, filler] of [
      ["blank lines before the head", "", "\r\n"],
      [
        "blank lines after an informational response",
        `${HEAD.replace("200 OK", "103 Early Hints")}\r\n`,
        "\r\n",
      ],
      ["the size of a chunk", CHUNKED, "0"],
      ["the extension of a chunk", `${CHUNKED}5;`, "a"],
      ["the fields behind the last chunk", `${CHUNKED}0\r\n`, "X-A: b\r\n"],
    ] as const
  ) {
    it(`rejects a response with ${name} before the timeout`, async () => {
      const server = await startServer((socket) => {
        socket.write(begin);
        writeEndlessly(socket, filler.repeat(FILLER_BYTES / filler.length));
      });
      const sender = createSender();
      const startMs = performance.now();
      assert.equal(await send(sender, server), "unknown");
      const tookMs = performance.now() - startMs;
      sender.close();
      server.close();
      assert.ok(tookMs < AT_ONCE_MS, `took ${tookMs} ms`);
    });
  }

  /** Bytes on an idle connection keep it from timing out, so that a host read them for good. */
  it("closes an idle connection on which bytes arrive", async () => {
    const server = await startServer((socket) => {
      socket.write(ANSWER);
      setTimeout(() => writeEndlessly(socket, "x".repeat(FILLER_BYTES)), 50);
    });
    const closed = new Promise<string>((resolve) => {
      server.once("connection", (socket: Socket) => {
        socket.once("close", () => resolve("closed"));
      });
    });
    const sender = createSender();
    assert.equal(await send(sender, server), "answer");
    const timeout = new Promise<string>((resolve) =>
      setTimeout(() => resolve("open"), AT_ONCE_MS)
    );
    const state = await Promise.race([closed, timeout]);
    sender.close();
    server.close();
    assert.equal(state, "closed");
  });

  it("reads a body in chunks of one byte up to its size", async () => {
    const server = await startServer((socket) =>
      socket.end(`${CHUNKED}${"1\r\nx\r\n".repeat(1_000)}0\r\n\r\n`)
    );
    const sender = createSender();
    assert.equal(await send(sender, server), "x".repeat(1_000));
    sender.close();
    server.close();
  });
});
