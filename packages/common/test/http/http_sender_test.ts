import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { PortError } from "../../src/errors/errors.ts";
import { HttpSender } from "../../src/http/http_sender.ts";

const HEAD = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n";
const ANSWER = `${HEAD}Content-Length: 6\r\n\r\nanswer`;
const ENDS = {
  closed: (socket: Socket) => socket.end(),
  reset: (socket: Socket) => socket.resetAndDestroy(),
} as const;

/** Sends a request to a server that writes these bytes and ends the connection; returns the body or the error. */
async function sendOnce(
  bytes: string,
  end: keyof typeof ENDS,
): Promise<unknown> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    // The bytes are read before the connection ends.
    socket.on(
      "data",
      () => socket.write(bytes, () => setTimeout(() => ENDS[end](socket), 5)),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const sender = new HttpSender({
    port: "server",
    connectTimeoutMs: 500,
    maxConnections: 1,
    idleTimeoutMs: 1_000,
    maxBodyBytes: 1_000,
  });
  const { port } = server.address() as AddressInfo;
  const result = await sender.send({
    address: { hostname: "127.0.0.1", port },
    method: "GET",
    path: "/",
    headers: ["Host", "a"],
    headTimeoutMs: 500,
  }, 500).then(({ body }) => body.toString(), (error: unknown) => error);
  sender.close();
  server.close();
  return result;
}

describe("HttpSender.send with a response that ends early", () => {
  /** Callers got an empty or shortened answer that looked whole. */
  for (const end of ["closed", "reset"] as const) {
    it(`rejects with an unknown outcome wherever the response is ${end}`, async () => {
      for (let length = 1; length < ANSWER.length; length++) {
        const error = await sendOnce(ANSWER.slice(0, length), end);
        assert.ok(error instanceof PortError, `${end} after ${length} bytes`);
        assert.equal(error.outcome, "unknown");
      }
    });
  }

  it("rejects a response without a length whose connection is reset", async () => {
    const error = await sendOnce(`${HEAD}\r\npart`, "reset");
    assert.ok(error instanceof PortError, String(error));
    assert.equal(error.outcome, "unknown");
  });

  it("returns a whole response with a length though other bytes follow it", async () => {
    assert.equal(await sendOnce(`${ANSWER}no response`, "closed"), "answer");
  });

  it("returns a response without a length whose connection is closed", async () => {
    assert.equal(await sendOnce(`${HEAD}\r\nwhole`, "closed"), "whole");
  });
});

describe("HttpSender.send with a response that is none", () => {
  /** A call never settled, so that an attempt was under way for good. */
  it("rejects when the server switches protocols", async () => {
    const error = await sendOnce(
      "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
      "closed",
    );
    assert.ok(error instanceof PortError, String(error));
    assert.equal(error.outcome, "unknown");
  });

  it("rejects when informational responses don't end, before the timeout", async () => {
    const error = await sendOnce(
      "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000),
      "closed",
    );
    assert.ok(error instanceof PortError, String(error));
    assert.equal(error.fault, "malformed");
    assert.equal(error.outcome, "unknown");
  });

  it("returns the response after a few informational ones", async () => {
    const early = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(3);
    assert.equal(await sendOnce(early + ANSWER, "closed"), "answer");
  });
});
