import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { PortError } from "../../src/errors/errors.ts";
import type { HttpResponse } from "../../src/http/http_exchange.ts";
import { HttpSender } from "../../src/http/http_sender.ts";
import { ResponseMemory } from "../../src/http/response_memory.ts";

const HEAD = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n";
const ANSWER = `${HEAD}Content-Length: 6\r\n\r\nanswer`;
/** How a server ends its connection, once the bytes have been read or together with them. */
const ENDS = {
  "closed": (socket: Socket, bytes: string) => {
    socket.write(bytes, () => setTimeout(() => socket.end(), 5));
  },
  "closed at once": (socket: Socket, bytes: string) => {
    socket.end(bytes);
  },
  "reset": (socket: Socket, bytes: string) => {
    socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), 5));
  },
  "reset at once": (socket: Socket, bytes: string) => {
    socket.write(bytes, () => socket.resetAndDestroy());
  },
} as const;
/** Heads of responses whose body ends with the connection. */
const UNFRAMED_HEADS = {
  "no length": "HTTP/1.1 200 OK\r\n\r\n",
  "no length on a connection that is said to be kept":
    "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
  "the version 1.0": "HTTP/1.0 200 OK\r\n\r\n",
  "a coding that has no end of its own":
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n",
} as const;
/** The number of responses read in each case, some of which arrive in one read with the end of their connection. */
const ROUNDS = 20;

/** Sends a request to a server that writes these bytes and ends the connection; returns the body or the error. */
function sendOnce(
  bytes: string,
  end: keyof typeof ENDS,
  method = "GET",
): Promise<unknown> {
  return sendTo(
    (socket) => socket.on("data", () => ENDS[end](socket, bytes)).resume(),
    method,
  );
}

/** Sends a request to a server that handles its connection in this way; returns the body or the error. */
function sendTo(
  handle: (socket: Socket) => void,
  method = "GET",
): Promise<unknown> {
  return requestOnce(handle, method)
    .then(({ body }) => body.toString(), (error: unknown) => error);
}

/** Sends a request to a server that handles its connection in this way. */
async function requestOnce(
  handle: (socket: Socket) => void,
  method = "GET",
): Promise<HttpResponse> {
  const server = createServer({ pauseOnConnect: true }, (socket) => {
    socket.on("error", () => undefined);
    // The request has arrived by then.
    setTimeout(() => handle(socket), 5);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const sender = new HttpSender({
    port: "server",
    connectTimeoutMs: 500,
    maxConnections: 1,
    idleTimeoutMs: 1_000,
    maxBodyBytes: 1_000,
    memory: new ResponseMemory({ limitBytes: 1_000_000 }),
  });
  const { port } = server.address() as AddressInfo;
  return await sender.send({
    address: { hostname: "127.0.0.1", port },
    method,
    path: "/",
    headers: ["Host", "a"],
    headTimeoutMs: 500,
  }, 500).finally(() => {
    sender.close();
    server.close();
  });
}

describe("HttpSender.send with a response that ends early", () => {
  /** Callers got an empty or shortened answer that looked whole. */
  for (const end of Object.keys(ENDS) as (keyof typeof ENDS)[]) {
    it(`rejects with an unknown outcome wherever the response is ${end}`, async () => {
      for (let length = 1; length < ANSWER.length; length++) {
        const error = await sendOnce(ANSWER.slice(0, length), end);
        assert.ok(error instanceof PortError, `${end} after ${length} bytes`);
        assert.equal(error.outcome, "unknown");
      }
    });
  }

  /** Half an answer passed as whole when its connection was reset before its last bytes were read. */
  for (const [name, head] of Object.entries(UNFRAMED_HEADS)) {
    for (const end of ["reset", "reset at once"] as const) {
      it(`rejects a response with ${name} whose connection is ${end}`, async () => {
        for (let round = 0; round < ROUNDS; round++) {
          const error = await sendOnce(`${head}part`, end);
          assert.ok(error instanceof PortError, String(error));
          assert.equal(error.outcome, "unknown");
        }
      });
    }
    for (const end of ["closed", "closed at once"] as const) {
      it(`returns a response with ${name} whose connection is ${end}`, async () => {
        for (let round = 0; round < ROUNDS; round++) {
          assert.equal(await sendOnce(`${head}whole`, end), "whole");
        }
      });
    }
  }

  it("returns a whole response with a length whose connection is reset", async () => {
    for (const end of ["reset", "reset at once"] as const) {
      assert.equal(await sendOnce(ANSWER, end), "answer");
    }
  });

  /** Callers got an error for a whole answer whose server closed the connection with a part of the request unread. */
  it("returns a response without a length whose connection is ended, then reset", async () => {
    for (const head of Object.values(UNFRAMED_HEADS)) {
      for (let round = 0; round < ROUNDS; round++) {
        // The kernel resets a connection that is closed with unread bytes.
        const result = await sendTo((socket) => {
          socket.pause();
          socket.end(`${head}whole`, () => socket.destroy());
        });
        assert.equal(result, "whole");
      }
    }
  });

  it("returns the response to a HEAD request, which has a length and no body", async () => {
    const head = `${HEAD}Content-Length: 999999999\r\n\r\n`;
    assert.equal(await sendOnce(head, "closed", "HEAD"), "");
  });

  it("returns a whole response with a length though other bytes follow it", async () => {
    assert.equal(await sendOnce(`${ANSWER}no response`, "closed"), "answer");
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

  /** Fields behind the first thousand or so were dropped unseen, such as a signature or a limit. */
  it("returns all fields of a head that is within its limit in bytes", async () => {
    const fields = "a:\r\n".repeat(3_000);
    const bytes = ANSWER.replace("X-Signature", `${fields}X-Signature`);
    const response = await requestOnce(
      (socket) => socket.on("data", () => socket.end(bytes)).resume(),
    );
    assert.equal(response.headers["x-signature"], "s");
    assert.equal(response.rawHeaders.length, 2 * 3_002);
  });
});
