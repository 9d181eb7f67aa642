import { PortError } from "@briarhill/common/errors/errors";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ChunkSequence } from "../../src/engine/chunk_sequence.ts";
import type {
  GenerateChunk,
  GenerateRequest,
} from "../../src/engine/engine.ts";

const SEED = 7;
const RUNS = 1000;
const TEXT = Array.from({ length: 12 }, (_, index) => `t${index} `);

function createRequest(fromToken = 0): GenerateRequest {
  const sampling = { temperature: 1, topP: 1, maxTokens: TEXT.length };
  const base = { requestId: "r", model: "m", prompt: "p", priority: 0 };
  return { ...base, fromToken, sampling };
}

function createChunk(from: number, to: number): GenerateChunk {
  const isLast = to === TEXT.length;
  return {
    requestId: "r",
    fromToken: from,
    tokens: TEXT.slice(from, to),
    ...(isLast ? { finishReason: "stop" } : {}),
  };
}

describe("ChunkSequence", () => {
  it("returns the exact text or throws, for any order of chunks", () => {
    const chunk = fc.tuple(
      fc.integer({ min: 0, max: TEXT.length }),
      fc.integer({ min: 0, max: 5 }),
    ).map(([from, count]) =>
      createChunk(from, Math.min(TEXT.length, from + count))
    );
    const start = fc.integer({ min: 0, max: TEXT.length });
    fc.assert(
      fc.property(start, fc.array(chunk, { maxLength: 30 }), (from, chunks) => {
        const sequence = new ChunkSequence(createRequest(from));
        const text: string[] = [];
        try {
          for (const received of chunks) {
            text.push(...sequence.apply(received)?.tokens ?? []);
          }
          sequence.throwIfUnfinished();
          assert.deepEqual(text, TEXT.slice(from));
        } catch (error) {
          assert(error instanceof PortError, String(error));
          assert.deepEqual(text, TEXT.slice(from, from + text.length));
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  function doFaultTest(chunk: Partial<GenerateChunk>, fault: string): void {
    const sequence = new ChunkSequence(createRequest());
    sequence.apply(createChunk(0, 2));
    assert.throws(
      () => sequence.apply({ ...createChunk(2, 3), ...chunk }),
      (error: unknown) => error instanceof PortError && error.fault === fault,
    );
  }

  it("rejects chunks of other requests and gaps", () => {
    doFaultTest({ requestId: "other" }, "malformed");
    doFaultTest({ fromToken: 3 }, "incomplete");
  });

  it("rejects tokens after the last chunk", () => {
    const sequence = new ChunkSequence(createRequest());
    sequence.apply(createChunk(0, TEXT.length));
    const extraChunk = { ...createChunk(0, 1), fromToken: TEXT.length };
    assert.throws(() => sequence.apply(extraChunk), PortError);
  });

  it("drops a repeated chunk", () => {
    const sequence = new ChunkSequence(createRequest());
    sequence.apply(createChunk(0, TEXT.length));
    assert.equal(sequence.apply(createChunk(0, TEXT.length)), undefined);
  });
});
