import { ManualClock } from "@briarhill/common/time/manual_clock";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { GenerateRequest } from "../../src/engine/engine.ts";
import { HttpEngine } from "../../src/engine/http_engine.ts";
import { ReadPacer } from "../../src/http/read_pacer.ts";
import { createResponse, startRawServer } from "../http/raw_server.ts";

const OPEN_STREAMS = 16;

const REQUEST: GenerateRequest = {
  requestId: "r",
  model: "m",
  prompt: "p",
  fromToken: 0,
  sampling: { temperature: 1, topP: 1, maxTokens: 4 },
  priority: 1,
};

describe("HttpEngine.generate", () => {
  /** Checks that the pacer counts the stream as open only until it ends. */
  async function doStreamCountTest(
    chunk: Readonly<Record<string, unknown>>,
    end: (abort: AbortController) => void,
  ): Promise<void> {
    const line = JSON.stringify({ requestId: "r", fromToken: 0, ...chunk });
    const server = await startRawServer((socket) =>
      socket.write(createResponse(line + "\n"))
    );
    const pacer = new ReadPacer(new ManualClock());
    for (let count = 0; count < OPEN_STREAMS; count++) {
      pacer.addStream();
    }
    const engine = new HttpEngine(server.address, { pacer });
    const abort = new AbortController();
    const chunks = engine.generate(REQUEST, abort.signal);
    const first = chunks[Symbol.asyncIterator]().next();
    assert(pacer.getReadDelayMs() > 0);
    await first;
    end(abort);
    assert.equal(pacer.getReadDelayMs(), 0);
    await engine.close();
    await server.close();
  }

  it("is not counted as open by the pacer after its last chunk was read", async () => {
    const chunk = { tokens: ["t"], finishReason: "stop" };
    await doStreamCountTest(chunk, () => undefined);
  });

  it("is not counted as open by the pacer after it was cancelled", async () => {
    await doStreamCountTest({ tokens: ["t"] }, (abort) => abort.abort());
  });
});
