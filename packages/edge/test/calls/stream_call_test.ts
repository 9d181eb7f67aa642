import { listUnusualResponses } from "@briarhill/common/testing/unusual_responses";
import { listMalformedResponses } from "@briarhill/common/testing/malformed_responses";
import { Logger, setLogWriter } from "@briarhill/common/logging/logger";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { streamResponse } from "../../src/calls/stream_call.ts";
import { type ConnectionScript, RawEndpoint } from "./raw_endpoint.ts";
import {
  createEndpoint,
  createRequest,
  createSender,
  HEAD,
} from "./sender_fixture.ts";

setLogWriter(() => undefined);

const REMAINING_MS = 1_000;
const EVENT = "id: 1\ndata: e1\n\n";
const CHUNK = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
const BEGUN = `${HEAD}Transfer-Encoding: chunked\r\n\r\n${CHUNK}`;
const LAST_CHUNK = "0\r\n\r\n";

/** Streams one response to a caller and returns the bytes that the caller gets, and the outcome. */
async function streamOnce(
  script: ConnectionScript,
  version = "1.1",
): Promise<
  { readonly text: string; readonly isReset: boolean; readonly outcome: string }
> {
  const endpoint = new RawEndpoint(script);
  const port = await endpoint.start();
  const { sender, clock } = createSender();
  let outcome = "";
  const server: Server = createServer((_, response) => {
    void streamResponse(response, {
      sender,
      request: createRequest(createEndpoint(port)),
      logger: Logger.create({}),
      clock,
      remainingMs: REMAINING_MS,
    }).then((result) => {
      outcome = result;
      response.headersSent || response.writeHead(502).end();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port: callerPort } = server.address() as AddressInfo;
  const read = await readRaw(callerPort, version);
  sender.close();
  endpoint.close();
  server.close();
  return { ...read, outcome };
}

/** Returns what a caller gets, and whether its connection is reset. */
function readRaw(
  port: number,
  version: string,
): Promise<{ readonly text: string; readonly isReset: boolean }> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (bytes) => text += bytes);
    socket.on("error", () => undefined);
    socket.on("close", (isReset) => resolve({ text, isReset }));
    socket.write(
      `GET / HTTP/${version}\r\nHost: a\r\nConnection: close\r\n\r\n`,
    );
  });
}

describe("streamResponse", () => {
  it("passes a complete stream on as complete", async () => {
    const { text, outcome } = await streamOnce((socket) =>
      socket.write(BEGUN + LAST_CHUNK)
    );
    assert.equal(outcome, "whole");
    assert.ok(text.includes(CHUNK) && text.endsWith(LAST_CHUNK), text);
  });

  it("passes a stream without a length on as complete when the endpoint closes it", async () => {
    const { text, outcome } = await streamOnce((socket) =>
      socket.end(`${HEAD}\r\n${EVENT}`)
    );
    assert.equal(outcome, "whole");
    assert.ok(text.includes(CHUNK) && text.endsWith(LAST_CHUNK), text);
  });

  /** Callers found the text of an error, or the end of a complete stream, in the middle of theirs. */
  const ends: readonly (readonly [string, ConnectionScript])[] = [
    [
      "is reset",
      (socket) => socket.write(BEGUN, () => socket.resetAndDestroy()),
    ],
    [
      "has no length and is reset before its last bytes are read",
      (socket) =>
        socket.write(
          `${HEAD}\r\n${EVENT}`,
          () => socket.resetAndDestroy(),
        ),
    ],
    [
      "has no length and goes on past the deadline",
      (socket) => socket.write(`${HEAD}\r\n${EVENT}`),
    ],
    ["is closed", (socket) => socket.end(BEGUN)],
    ["has no length and is reset", (socket) =>
      socket.write(
        `${HEAD}\r\n${EVENT}`,
        () => setTimeout(() => socket.resetAndDestroy(), 5),
      )],
    ["goes on with another response", (socket) =>
      socket.end(
        `${BEGUN}HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nerror`,
      )],
    [
      "goes on with what is no chunk",
      (socket) => socket.end(`${BEGUN}an error of the server`),
    ],
    ["is closed within a chunk", (socket) => socket.end(`${BEGUN}ff\r\nid: 2`)],
    [
      "is closed within the last chunk",
      (socket) => socket.end(`${BEGUN}0\r\n`),
    ],
  ];
  for (const [title, script] of ends) {
    it(`breaks the caller's stream off, without other bytes, if the endpoint's ${title}`, async () => {
      const { text, outcome } = await streamOnce(script);
      assert.equal(outcome, "cut");
      assert.ok(!text.includes(LAST_CHUNK), text);
      assert.ok(!/error|HTTP\/1.1 500/.test(text), text);
    });
  }

  /** A caller of HTTP/1.0 gets no chunks: it took the part of a stream for the whole. */
  it("resets the connection of a caller of HTTP/1.0 if the stream ends early, and closes it otherwise", async () => {
    // The caller reads the event before the endpoint breaks off.
    const cut: ConnectionScript = (socket) =>
      socket.write(BEGUN, () => setTimeout(() => socket.destroy(), 50));
    const whole: ConnectionScript = (socket) =>
      socket.write(BEGUN + LAST_CHUNK);
    for (
      const [script, expected] of [[cut, "cut"], [whole, "whole"]] as const
    ) {
      const { text, isReset, outcome } = await streamOnce(script, "1.0");
      assert.equal(outcome, expected);
      assert.ok(text.endsWith(EVENT), text);
      assert.equal(isReset, expected === "cut");
    }
  });

  it("never reports a head that ends early as a response", async () => {
    const whole = `${HEAD}Content-Length: 2\r\n\r\nok`;
    const bodyAt = whole.indexOf("\r\n\r\n") + 4;
    for (let length = 1; length < bodyAt; length++) {
      const { text, outcome } = await streamOnce((socket) =>
        socket.end(whole.slice(0, length))
      );
      assert.equal(outcome, "unknown", `cut after ${length} bytes`);
      assert.ok(!text.includes("200 OK"), text);
    }
  });

  /** Callers got streams that no endpoint vouched for. */
  it("passes nothing on of a successful response without a signature", async () => {
    const head = HEAD.replace("X-Briarhill-Server-Signature: s\r\n", "");
    const { text, outcome } = await streamOnce((socket) =>
      socket.end(`${head}\r\n${EVENT}`)
    );
    assert.equal(outcome, "unknown");
    assert.ok(text.startsWith("HTTP/1.1 502"), text);
  });

  /** Callers got the sizes of chunks, or a part of a head, as events of their stream. */
  it("completes no stream whose bytes are no HTTP response, and each unusual one", async () => {
    const headers = HEAD.trimEnd().split("\r\n").slice(1);
    const content = { headers, body: EVENT };
    for (const { title, text } of listMalformedResponses(content)) {
      const { text: read, outcome } = await streamOnce((socket) =>
        socket.end(text, "latin1")
      );
      assert.match(outcome, /^(unknown|cut)$/, title);
      assert.ok(!read.startsWith("HTTP/1.1 200") || outcome === "cut", title);
      assert.ok(outcome !== "cut" || !read.endsWith(LAST_CHUNK), title);
    }
    for (const { title, text } of listUnusualResponses(content)) {
      const { text: read, outcome } = await streamOnce((socket) =>
        socket.end(text, "latin1")
      );
      assert.equal(outcome, "whole", title);
      // A stream that arrives in chunks is passed on in chunks.
      assert.ok(
        read.replaceAll(/\r\n[0-9a-f]+\r\n/g, "").includes(EVENT),
        read,
      );
    }
  });
});
