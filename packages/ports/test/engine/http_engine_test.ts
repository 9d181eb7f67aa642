import { ManualClock } from "@briarhill/common/time/manual_clock";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { GenerateRequest } from "../../src/engine/engine.ts";
import { HttpEngine } from "../../src/engine/http_engine.ts";
import { ReadPacer } from "../../src/http/read_pacer.ts";
import { createAnswer, startRawServer } from "../http/raw_server.ts";

const OTHER_STREAMS = 16;

const REQUEST: GenerateRequest = {
  requestId: "r",
  model: "m",
  prompt: "p",
  fromToken: 0,
  sampling: { temperature: 1, topP: 1, maxTokens: 4 },
  priority: 1,
};

describe("HttpEngine.generate", () => {
  /** The stream counts as open only until its end, however it is read. */
  async function doPaceTest(
    chunk: Readonly<Record<string, unknown>>,
    end: (abort: AbortController) => void,
  ): Promise<void> {
    const line = JSON.stringify({ requestId: "r", fromToken: 0, ...chunk });
    const server = await startRawServer((socket) =>
      socket.write(createAnswer(line + "\n"))
    );
    const pacer = new ReadPacer(new ManualClock());
    for (let count = 0; count < OTHER_STREAMS; count++) {
      pacer.addStream();
    }
    const engine = new HttpEngine(server.address, { pacer });
    const abort = new AbortController();
    const chunks = engine.generate(REQUEST, abort.signal);
    const first = chunks[Symbol.asyncIterator]().next();
    assert(pacer.getPaceMs() > 0);
    await first;
    end(abort);
    assert.equal(pacer.getPaceMs(), 0);
    await engine.close();
    await server.close();
  }

  it("is no open stream for the pacer once its last chunk is read", async () => {
    const chunk = { tokens: ["t"], finishReason: "stop" };
    await doPaceTest(chunk, () => undefined);
  });

  it("is no open stream for the pacer once it is cancelled", async () => {
    await doPaceTest({ tokens: ["t"] }, (abort) => abort.abort());
  });
});
