import { listUnusualResponses } from "@briarhill/common/testing/unusual_responses";
import { listMalformedResponses } from "@briarhill/common/testing/malformed_responses";
import { setLogWriter } from "@briarhill/common/logging/logger";
import { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { SampleRequest } from "@briarhill/rollout/ledger/lot_request";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runGeneration } from "../../src/lots/sample_generation.ts";
import {
  type ConnectionScript,
  createEndlessScript,
  RawEndpoint,
} from "../calls/raw_endpoint.ts";
import {
  createEndpoint,
  createSender,
  HEAD,
  SLACK_MS,
} from "../calls/sender_fixture.ts";

setLogWriter(() => undefined);

/** The maximum number of tokens that an engine of the users' deployments holds. */
const MAX_EVENTS = 153_581;
const CHUNK = "x".repeat(65_536);
/** Some of so many resets arrive in one read with the last bytes. */
const RESET_ROUNDS = 10;

describe("runGeneration", () => {
  async function runScript(
    script: ConnectionScript,
    deadlineMs = 15_000,
    fields: Partial<SampleRequest> = {},
  ) {
    const server = new RawEndpoint(script);
    const port = await server.start();
    const { sender, clock } = createSender();
    const task = new SampleTask({
      id: "a",
      path: "/",
      headers: [],
      body: "",
      expectedTokens: 10,
      group: "g",
      ...fields,
    });
    const startMs = performance.now();
    const report = await runGeneration({
      clock,
      sender,
      task,
      endpoint: createEndpoint(port),
      urgency: 5,
      deadlineMs,
      signal: new AbortController().signal,
      lot: {
        id: "l",
        host: "a.example",
        path: "/",
        model: "m",
        minVersion: 1,
        wantedGroups: 1,
        acceptedAtMs: 0,
        samples: [task.request],
      },
    });
    const tookMs = performance.now() - startMs;
    sender.close();
    server.close();
    return { report, tookMs, task };
  }

  const streamHead = `${HEAD}X-Briarhill-Weight-Versions: 1\r\n\r\n`;

  it("ends the attempt as oversized when one event never ends", async () => {
    const script = createEndlessScript(`${streamHead}id: 0\ndata: `, {
      piece: CHUNK,
    });
    const { report, tookMs } = await runScript(script);
    assert.deepEqual(report, { end: "broken", reason: "oversized" });
    assert.ok(tookMs < SLACK_MS, `took ${tookMs} ms`);
  });

  it("ends the attempt as oversized when the stream of events never ends", async () => {
    let id = 0;
    const { report, task } = await runScript((socket) => {
      socket.write(streamHead);
      const write = () => {
        while (
          !socket.destroyed && socket.write(`id: ${id++}\ndata: ${CHUNK}\n\n`)
        );
      };
      socket.on("drain", write);
      write();
    });
    assert.deepEqual(report, { end: "broken", reason: "oversized" });
    assert.ok(task.eventCount <= 16);
  });

  /** An endless stream of events without data filled the memory of a host, which ended with all requests under way. */
  it("ends the attempt as oversized when events without data never end", async () => {
    let id = 0;
    const { report, task } = await runScript((socket) => {
      socket.write(streamHead);
      const write = () => {
        let piece = "";
        do {
          piece = "";
          for (let count = 0; count < 4_000; count++) {
            piece += `id: ${id++}\n\n`;
          }
        } while (!socket.destroyed && socket.write(piece));
      };
      socket.on("drain", write);
      write();
    });
    assert.deepEqual(report, { end: "broken", reason: "oversized" });
    assert.ok(task.eventCount <= MAX_EVENTS, `${task.eventCount} events`);
  });

  it("ends the attempt as oversized when the lines around events never end", async () => {
    let id = 0;
    const { report, task } = await runScript((socket) => {
      socket.write(streamHead);
      const write = () => {
        while (
          !socket.destroyed &&
          socket.write(`: ${CHUNK.slice(9_999)}\nid: ${id++}\ndata: e\n\n`)
        );
      };
      socket.on("drain", write);
      write();
    });
    assert.deepEqual(report, { end: "broken", reason: "oversized" });
    assert.ok(task.eventCount < 400, `${task.eventCount} events`);
  });

  it("ends the attempt as overdue when events go on after its deadline", async () => {
    let id = 0;
    const { report, tookMs } = await runScript((socket) => {
      socket.write(streamHead);
      const timer = setInterval(
        () => socket.write(`id: ${id++}\ndata: e\n\n`),
        100,
      );
      socket.on("close", () => clearInterval(timer));
    }, 300);
    assert.deepEqual(report, { end: "broken", reason: "overdue" });
    assert.ok(tookMs < 1_300 + SLACK_MS, `took ${tookMs} ms`);
  });

  /** A sample that an earlier build has accepted ended each host that ran it. */
  it("does not throw for a sample that can't be sent", async () => {
    const { report } = await runScript(() => undefined, 300, { path: "/a b" });
    assert.deepEqual(report, { end: "refused", reason: "unsendable" });
  });

  it("ends the attempt as silent when bytes arrive but no complete event", async () => {
    const script = createEndlessScript(`${streamHead}id: 0\ndata: `, {
      piece: "x",
      pauseMs: 100,
    });
    const { report, tookMs } = await runScript(script);
    assert.deepEqual(report, { end: "broken", reason: "silent" });
    assert.ok(tookMs < 2_500 + SLACK_MS, `took ${tookMs} ms`);
  });

  /** Samples were completed with a part of their text, from which their trainers learned. */
  it("breaks the attempt off when the stream is reset before its last bytes are read", async () => {
    for (let round = 0; round < RESET_ROUNDS; round++) {
      const { report, task } = await runScript((socket) =>
        socket.write(
          `${streamHead}id: 0\ndata: e\n\n`,
          () => socket.resetAndDestroy(),
        )
      );
      assert.deepEqual(report, { end: "broken", reason: "cut" });
      assert.equal(task.eventCount, 1);
    }
  });

  it("finishes a slow stream whose events are complete", async () => {
    const { report, task } = await runScript((socket) => {
      socket.write(streamHead);
      let id = 0;
      const timer = setInterval(() => {
        socket.write(`id: ${id}\ndata: e\n\n`);
        if (++id === 4) {
          clearInterval(timer);
          socket.end();
        }
      }, 900);
    });
    assert.equal(report.end, "finished");
    assert.equal(task.eventCount, 4);
  });

  /** The text of an error must not become part of a sample that is resumed at another engine. */
  it("adds nothing to the sample from a response that is an error", async () => {
    for (const status of ["500 Failed", "404 Gone", "503 Full", "302 Moved"]) {
      const body = "id: 1\ndata: an error\n\n";
      const { report, task } = await runScript((socket) =>
        socket.write(
          `${
            HEAD.replace("200 OK", status)
          }Content-Length: ${body.length}\r\n\r\n${body}`,
        )
      );
      assert.notEqual(report.end, "finished", status);
      assert.equal(task.eventCount, 0, status);
    }
  });

  /** Samples were completed with the text of a response that no engine vouched for. */
  it("adds nothing to the sample from a successful response without a signature", async () => {
    for (const signature of ["", "X-Briarhill-Server-Signature:\r\n"]) {
      const head = streamHead.replace(
        "X-Briarhill-Server-Signature: s\r\n",
        signature,
      );
      const { report, task } = await runScript((socket) =>
        socket.end(`${head}id: 0\ndata: e\n\n`)
      );
      assert.deepEqual(report, { end: "broken", reason: "malformed" });
      assert.equal(task.eventCount, 0);
    }
  });

  /** Trainers learned from texts that no engine had sent. */
  it("finishes no sample from bytes that are no HTTP response, and from each unusual one", async () => {
    const headers = streamHead.trimEnd().split("\r\n").slice(1);
    const body = "id: 0\ndata: e\n\n";
    for (const { title, text } of listMalformedResponses({ headers, body })) {
      const { report } = await runScript((socket) =>
        socket.end(text, "latin1")
      );
      assert.equal(report.end, "broken", title);
      assert.match(report.reason, /^(malformed|no HTTP response: .*)$/, title);
    }
    for (const { title, text } of listUnusualResponses({ headers, body })) {
      const { report, task } = await runScript((socket) =>
        socket.end(text, "latin1")
      );
      // A sample is the body of a 200 only.
      const isOther = text.startsWith("HTTP/1.1 299");
      assert.equal(report.end, isOther ? "broken" : "finished", title);
      assert.equal(task.eventCount, isOther ? 0 : 1, title);
    }
  });
});
