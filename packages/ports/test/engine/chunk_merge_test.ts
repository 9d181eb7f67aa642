import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { mergeChunks } from "../../src/engine/chunk_merge.ts";

describe("mergeChunks", () => {
  it("merges contiguous chunks of one version, but not chunks of different versions", () => {
    const chunk = (fromToken: number, version: number) => ({
      requestId: "r",
      fromToken,
      tokens: [`t${fromToken}`],
      version,
    });
    const merged = mergeChunks([
      chunk(0, 1),
      chunk(1, 1),
      chunk(2, 2),
      { ...chunk(3, 2), finishReason: "stop" },
    ]);
    assert.deepEqual(merged, [
      { requestId: "r", fromToken: 0, tokens: ["t0", "t1"], version: 1 },
      {
        requestId: "r",
        fromToken: 2,
        tokens: ["t2", "t3"],
        version: 2,
        finishReason: "stop",
      },
    ]);
  });

  it("does not merge across gaps, repeats, other requests or a finish reason", () => {
    const chunk = (fromToken: number, requestId = "r") => ({
      requestId,
      fromToken,
      tokens: [`t${fromToken}`],
    });
    const last = { ...chunk(1), finishReason: "stop" as const };
    for (
      const chunks of [
        [chunk(0), chunk(2)],
        [chunk(0), chunk(0)],
        [chunk(0), chunk(1, "other")],
        [last, chunk(2)],
      ]
    ) {
      assert.deepEqual(mergeChunks(chunks), chunks);
    }
  });
});
