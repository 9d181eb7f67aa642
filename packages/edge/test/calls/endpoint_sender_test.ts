import { PortError } from "@briarhill/common/errors/errors";
import { setLogWriter } from "@briarhill/common/logging/logger";
import { SystemClock } from "@briarhill/common/time/system_clock";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type ConnectionScript,
  createEndlessScript,
  RawEndpoint,
} from "./raw_endpoint.ts";
import { CHUNK, FAULTY_RESPONSES } from "./faulty_responses.ts";
import {
  createEndpoint,
  createRawResponse,
  createRequest,
  createSender,
  DUPLICATE_DELAY_MS,
  HEAD,
  MAX_ANSWER_BYTES,
  MAX_RESPONSE_BYTES,
  REFUSED,
  sendTwice,
  SLACK_MS,
  TIMEOUT_MS,
} from "./sender_fixture.ts";

setLogWriter(() => undefined);

/** The bytes that the two kernel buffers of a loopback connection may hold in addition. */
const SOCKET_BUFFER_BYTES = 24 * 1_048_576;

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
  for (const [name, fault, script] of FAULTY_RESPONSES) {
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

describe("EndpointSender.send to endpoints that answer many requests without end", () => {
  const REQUESTS = 30;
  const PAUSE_MS = 5;

  /** Thirty responses below the limit of each filled the memory of a host together. */
  it("keeps all responses below their common limit, and returns sound ones beside them", async () => {
    const faulty = new RawEndpoint(
      createEndlessScript(`${HEAD}\r\n`, { piece: CHUNK, pauseMs: PAUSE_MS }),
    );
    const sound = new RawEndpoint((socket) =>
      socket.write(createRawResponse("a", "sound"))
    );
    const endpoint = createEndpoint(await faulty.start());
    const soundEndpoint = {
      ...createEndpoint(await sound.start()),
      id: "sound",
    };
    const { sender, endpointResponses } = createSender();
    let maxBytes = 0;
    const timer = setInterval(() => {
      maxBytes = Math.max(maxBytes, endpointResponses.usedBytes);
    }, 1);
    // A busy machine may exceed the timeout of a connection, and nothing is sent then.
    const send = async (to: EndpointStructure): Promise<string> => {
      let result = "refused";
      while (result === "refused") {
        result = await sender.send(createRequest(to)).then(
          ({ httpAnswer }) => httpAnswer.body.toString(),
          ({ fault }: PortError) => fault,
        );
      }
      return result;
    };
    const results = await Promise.all(
      Array.from({ length: REQUESTS }, () => send(endpoint)),
    );
    const soundResult = await send(soundEndpoint);
    clearInterval(timer);
    sender.close();
    [faulty, sound].forEach((server) => server.close());
    assert.equal(soundResult, "sound");
    assert.ok(results.includes("no-room"), `${results}`);
    const isFault = (result: string) =>
      ["no-room", "oversized", "silent"].includes(result);
    assert.ok(results.every(isFault), `${results}`);
    assert.ok(maxBytes <= MAX_RESPONSE_BYTES, `${maxBytes} bytes`);
    assert.equal(endpointResponses.usedBytes, 0);
  });

  it("keeps nothing of the body of a score", async () => {
    const server = new RawEndpoint((socket) =>
      socket.write(createRawResponse("a", "x".repeat(100_000)))
    );
    const endpoint = createEndpoint(await server.start());
    const { sender } = createSender();
    const { httpAnswer } = await sender.send({
      ...createRequest(endpoint),
      purpose: "scoring",
    });
    sender.close();
    server.close();
    assert.equal(httpAnswer.status, 200);
    assert.equal(httpAnswer.body.length, 0);
  });
});
