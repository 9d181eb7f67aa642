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
  createRequest,
  createSender,
  HEAD,
  MAX_ANSWER_BYTES,
  SLACK_MS,
  TIMEOUT_MS,
} from "./sender_fixture.ts";

setLogWriter(() => undefined);

/** What the two kernel buffers of a loopback connection may hold beside. */
const SOCKET_BUFFER_BYTES = 24 * 1_048_576;
const PIECE = "x".repeat(65_536);

/** Sends one request and returns what it failed with, in what time, and at what cost. */
async function sendOnce(script: ConnectionScript) {
  const endpoint = new RawEndpoint(script);
  const port = await endpoint.start();
  const { sender, directory } = createSender();
  const startMs = performance.now();
  const error = await sender.send(createRequest(createEndpoint(port)))
    .then(() => undefined, (reason: unknown) => reason);
  const tookMs = performance.now() - startMs;
  while (endpoint.closed === 0 && performance.now() - startMs < 5_000) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const { closed, sentBytes } = endpoint;
  sender.close();
  endpoint.close();
  return { error, tookMs, closed, sentBytes, directory };
}

const COPY_DELAY_MS = 30;
const REFUSED = HEAD.replace("200 OK", "503 Full") +
  "X-Briarhill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

function createAnswer(attemptId: string, body: string): string {
  return HEAD.replace("-Id: a", `-Id: ${attemptId}`) +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Sends two requests one after the other and returns what each one ended with. */
async function sendTwice(
  script: ConnectionScript,
  options: { readonly second: string; readonly pauseMs: number },
): Promise<readonly string[]> {
  const server = new RawEndpoint(script);
  const endpoint = createEndpoint(await server.start());
  const { sender } = createSender();
  const ends: string[] = [];
  for (const attemptId of ["a", options.second]) {
    const request = { ...createRequest(endpoint), attemptId };
    ends.push(
      await sender.send(request).then(
        ({ whole }) => `${whole.status} ${whole.body}`,
        (error) => `${error.fault} ${error.outcome}`,
      ),
    );
    await new Promise((resolve) => setTimeout(resolve, options.pauseMs));
  }
  sender.close();
  server.close();
  return ends;
}

describe("EndpointSender.send", () => {
  const cases: readonly (readonly [string, string, ConnectionScript])[] = [
    [
      "a head of endless lines",
      "reset",
      createEndlessScript("HTTP/1.1 200 OK\r\n", {
        piece: "X-A: b\r\n".repeat(999),
      }),
    ],
    [
      "an endless line in its head",
      "reset",
      createEndlessScript("HTTP/1.1 200 OK\r\nX-A: ", { piece: PIECE }),
    ],
    [
      "a head of one byte now and then",
      "silent",
      createEndlessScript("HTTP/1.1 200 OK\r\nX-A: ", {
        piece: "x",
        pauseMs: 20,
      }),
    ],
    [
      "an endless body without a length",
      "oversized",
      createEndlessScript(`${HEAD}\r\n`, { piece: PIECE }),
    ],
    [
      "an endless body with a length",
      "oversized",
      createEndlessScript(`${HEAD}Content-Length: 9999999999\r\n\r\n`, {
        piece: PIECE,
      }),
    ],
    [
      "an endless body in chunks",
      "oversized",
      createEndlessScript(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, {
        piece: `10000\r\n${PIECE}\r\n`,
      }),
    ],
    [
      "a body of one byte now and then",
      "silent",
      createEndlessScript(`${HEAD}\r\n`, { piece: "x", pauseMs: 20 }),
    ],
    [
      "an endless extension of a chunk",
      "incomplete",
      createEndlessScript(`${HEAD}Transfer-Encoding: chunked\r\n\r\n1;a=`, {
        piece: PIECE,
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
      "bytes that are no answer",
      "reset",
      createEndlessScript("", { piece: PIECE }),
    ],
    [
      "an endless refusal",
      "oversized",
      createEndlessScript(
        `${
          HEAD.replace("200 OK", "503 Full")
        }X-Briarhill-Not-Executed: 1\r\n\r\n`,
        { piece: PIECE },
      ),
    ],
    [
      "a success that no endpoint has signed",
      "malformed",
      (socket) =>
        socket.write(
          "HTTP/1.1 200 OK\r\nX-Briarhill-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n",
        ),
    ],
  ];

  for (const [name, fault, script] of cases) {
    it(`closes at once on ${name}`, async () => {
      const { error, tookMs, closed, sentBytes } = await sendOnce(script);
      assert.ok(error instanceof PortError, String(error));
      assert.equal(error.fault, fault);
      assert.equal(error.outcome, "unknown");
      assert.equal(closed, 1);
      assert.ok(tookMs < TIMEOUT_MS + SLACK_MS, `took ${tookMs} ms`);
      assert.ok(
        sentBytes < MAX_ANSWER_BYTES + SOCKET_BUFFER_BYTES,
        `took ${sentBytes} bytes`,
      );
    });
  }

  it("holds work back from an endpoint whose answer had no end", async () => {
    const script = createEndlessScript(`${HEAD}\r\n`, { piece: PIECE });
    const { directory } = await sendOnce(script);
    const nowMs = new SystemClock().getMonotonicMs();
    assert.equal(directory.board.getLoad("e").isPaused(nowMs), true);
  });
});

describe("EndpointSender, a second copy of an answer", () => {
  it("is never taken for the answer to the next request, when it comes before that is sent", async () => {
    let requests = 0;
    const [first, second] = await sendTwice((socket) => {
      const number = requests++;
      socket.write(createAnswer(number === 0 ? "a" : "b", `body ${number}`));
      if (number === 0) {
        setTimeout(
          () => socket.write(createAnswer("a", "body 0")),
          COPY_DELAY_MS,
        );
      }
    }, { second: "b", pauseMs: 3 * COPY_DELAY_MS });
    assert.equal(first, "200 body 0");
    assert.equal(second, "200 body 1");
  });

  it("is never taken for the answer to the next request, when it comes after that was sent", async () => {
    let requests = 0;
    const [, second] = await sendTwice((socket) => {
      if (requests++ === 0) {
        socket.write(createAnswer("a", "body 0"));
        return;
      }
      socket.write(createAnswer("a", "body 0"));
      setTimeout(
        () => socket.write(createAnswer("b", "body 1")),
        COPY_DELAY_MS,
      );
    }, { second: "b", pauseMs: 0 });
    assert.equal(second, "malformed unknown");
  });

  it("doesn't make a request that runs look refused, when the same request was refused before", async () => {
    let requests = 0;
    const [first, second] = await sendTwice((socket) => {
      if (requests++ === 0) {
        socket.write(REFUSED);
        setTimeout(() => socket.write(REFUSED), COPY_DELAY_MS);
        return;
      }
      setTimeout(
        () => socket.write(createAnswer("a", "body 1")),
        2 * COPY_DELAY_MS,
      );
    }, { second: "a", pauseMs: 0 });
    assert.equal(first, "503 ");
    assert.equal(second, "200 body 1");
  });
});
