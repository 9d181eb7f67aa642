import { PortError } from "@briarhill/common/errors/errors";
import { setLogWriter } from "@briarhill/common/logging/logger";
import { SystemClock } from "@briarhill/common/time/system_clock";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type ConnectionScript,
  createEndlessScript,
  RawEndpoint,
} from "./raw_endpoint.ts";
import {
  createEndpoint,
  createRawResponse,
  createRequest,
  createSender,
  DUPLICATE_DELAY_MS,
  HEAD,
  MAX_ANSWER_BYTES,
  REFUSED,
  sendTwice,
  SLACK_MS,
  TIMEOUT_MS,
} from "./sender_fixture.ts";

setLogWriter(() => undefined);

/** The bytes that the two kernel buffers of a loopback connection may hold in addition. */
const SOCKET_BUFFER_BYTES = 24 * 1_048_576;
const CHUNK = "x".repeat(65_536);

/** Sends one request and returns its error, its duration, and the connections and bytes that it took. */
async function sendOnce(script: ConnectionScript) {
  const endpoint = new RawEndpoint(script);
  const port = await endpoint.start();
  const { sender, directory } = createSender();
  const startMs = performance.now();
  const error = await sender.send(createRequest(createEndpoint(port)))
    .then(() => undefined, (reason: unknown) => reason);
  const durationMs = performance.now() - startMs;
  while (endpoint.closed === 0 && performance.now() - startMs < 5_000) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const { closed, sentBytes } = endpoint;
  sender.close();
  endpoint.close();
  return { error, durationMs, closed, sentBytes, directory };
}

describe("EndpointSender.send", () => {
  const cases: readonly (readonly [string, string, ConnectionScript])[] = [
    [
      "a head with endless header lines",
      "reset",
      createEndlessScript("HTTP/1.1 200 OK\r\n", {
        piece: "X-A: b\r\n".repeat(999),
      }),
    ],
    [
      "an endless line in the head",
      "reset",
      createEndlessScript("HTTP/1.1 200 OK\r\nX-A: ", { piece: CHUNK }),
    ],
    [
      "a head that arrives byte by byte with pauses",
      "silent",
      createEndlessScript("HTTP/1.1 200 OK\r\nX-A: ", {
        piece: "x",
        pauseMs: 20,
      }),
    ],
    [
      "an endless body without a Content-Length",
      "oversized",
      createEndlessScript(`${HEAD}\r\n`, { piece: CHUNK }),
    ],
    [
      "an endless body with a Content-Length",
      "oversized",
      createEndlessScript(`${HEAD}Content-Length: 9999999999\r\n\r\n`, {
        piece: CHUNK,
      }),
    ],
    [
      "an endless body in chunks",
      "oversized",
      createEndlessScript(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, {
        piece: `10000\r\n${CHUNK}\r\n`,
      }),
    ],
    [
      "a body that arrives byte by byte with pauses",
      "silent",
      createEndlessScript(`${HEAD}\r\n`, { piece: "x", pauseMs: 20 }),
    ],
    [
      "an endless chunk extension",
      "incomplete",
      createEndlessScript(`${HEAD}Transfer-Encoding: chunked\r\n\r\n1;a=`, {
        piece: CHUNK,
      }),
    ],
    [
      "endless trailers",
      "incomplete",
      createEndlessScript(`${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`, {
        piece: "X-A: b\r\n".repeat(999),
      }),
    ],
    [
      "bytes that are not an HTTP response",
      "reset",
      createEndlessScript("", { piece: CHUNK }),
    ],
    [
      "an endless rejection",
      "oversized",
      createEndlessScript(
        `${
          HEAD.replace("200 OK", "503 Full")
        }X-Briarhill-Not-Executed: 1\r\n\r\n`,
        { piece: CHUNK },
      ),
    ],
    [
      "a successful response without a signature",
      "malformed",
      (socket) =>
        socket.write(
          "HTTP/1.1 200 OK\r\nX-Briarhill-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n",
        ),
    ],
  ];

  for (const [name, fault, script] of cases) {
    it(`fails and closes the connection within the timeout on ${name}`, async () => {
      const { error, durationMs, closed, sentBytes } = await sendOnce(script);
      assert.ok(error instanceof PortError, String(error));
      assert.equal(error.fault, fault);
      assert.equal(error.outcome, "unknown");
      assert.equal(closed, 1);
      assert.ok(durationMs < TIMEOUT_MS + SLACK_MS, `took ${durationMs} ms`);
      assert.ok(
        sentBytes < MAX_ANSWER_BYTES + SOCKET_BUFFER_BYTES,
        `sent ${sentBytes} bytes`,
      );
    });
  }

  it("pauses an endpoint whose response has no end", async () => {
    const script = createEndlessScript(`${HEAD}\r\n`, { piece: CHUNK });
    const { directory } = await sendOnce(script);
    const nowMs = new SystemClock().getMonotonicMs();
    assert.equal(directory.endpointPicker.getLoad("e").isPaused(nowMs), true);
  });
});

describe("EndpointSender on a duplicated response", () => {
  it("does not return the duplicate for the next request if it arrives before that is sent", async () => {
    let requests = 0;
    const [first, second] = await sendTwice((socket) => {
      const index = requests++;
      socket.write(createRawResponse(index === 0 ? "a" : "b", `body ${index}`));
      if (index === 0) {
        setTimeout(
          () => socket.write(createRawResponse("a", "body 0")),
          DUPLICATE_DELAY_MS,
        );
      }
    }, { second: "b", pauseMs: 3 * DUPLICATE_DELAY_MS });
    assert.equal(first, "200 body 0");
    assert.equal(second, "200 body 1");
  });

  it("does not return the duplicate for the next request if it arrives after that was sent", async () => {
    let requests = 0;
    const [, second] = await sendTwice((socket) => {
      if (requests++ === 0) {
        socket.write(createRawResponse("a", "body 0"));
        return;
      }
      socket.write(createRawResponse("a", "body 0"));
      setTimeout(
        () => socket.write(createRawResponse("b", "body 1")),
        DUPLICATE_DELAY_MS,
      );
    }, { second: "b", pauseMs: 0 });
    assert.equal(second, "malformed unknown");
  });

  it("does not report a running request as refused if the same request was refused before", async () => {
    let requests = 0;
    const [first, second] = await sendTwice((socket) => {
      if (requests++ === 0) {
        socket.write(REFUSED);
        setTimeout(() => socket.write(REFUSED), DUPLICATE_DELAY_MS);
        return;
      }
      setTimeout(
        () => socket.write(createRawResponse("a", "body 1")),
        2 * DUPLICATE_DELAY_MS,
      );
    }, { second: "a", pauseMs: 0 });
    assert.equal(first, "503 ");
    assert.equal(second, "200 body 1");
  });
});
