import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { GENERATE_CHUNK } from "../../src/engine/engine_schema.ts";
import { parseOrUndefined } from "../../src/http/json.ts";
import { parseChunkLines } from "../../src/engine/chunk_lines.ts";

const SEED = 11;
const RUNS = 2000;

function createLine(fromToken: number): string {
  return JSON.stringify({ requestId: "r", fromToken, tokens: ["t"] });
}

describe("parseChunkLines", () => {
  function doTest(
    lines: readonly string[],
    expected: { readonly chunks: number; readonly failed?: string },
  ): void {
    const { chunks, failed } = parseChunkLines(lines);
    assert.equal(chunks.length, expected.chunks);
    assert.equal(failed, expected.failed);
  }

  it("names the first line that is no chunk", () => {
    const [first, second] = [createLine(0), createLine(1)];
    doTest([], { chunks: 0 });
    doTest([first, second], { chunks: 2 });
    doTest([first, "{", second], { chunks: 1, failed: "{" });
    doTest([first, "{}", second], { chunks: 1, failed: "{}" });
    doTest(["]", first], { chunks: 0, failed: "]" });
    const joined = `${first},${second}`;
    doTest([joined], { chunks: 0, failed: joined });
    const halves = [first.slice(0, 20), first.slice(21)];
    doTest(halves, { chunks: 0, failed: halves[0] ?? "" });
  });

  it("finds what looking at each line by itself finds", () => {
    const strange = fc.constantFrom(-1, 1.5, 2 ** 53, "1", null, [], {}, [1]);
    const field = fc.constantFrom(
      "requestId",
      "fromToken",
      "tokens",
      "version",
      "finishReason",
    );
    const line = fc.oneof(
      fc.nat(5).map(createLine),
      fc.tuple(field, strange).map(([name, value]) =>
        JSON.stringify({ ...JSON.parse(createLine(0)), [name]: value })
      ),
      fc.constantFrom("{", "}", "null", "[]", `${createLine(0)},`, `{"a":1}`),
    );
    fc.assert(
      fc.property(fc.array(line, { maxLength: 8 }), (lines) => {
        const good = lines.findIndex((each) =>
          !GENERATE_CHUNK.safeParse(parseOrUndefined(each)).success
        );
        doTest(lines, {
          chunks: good === -1 ? lines.length : good,
          ...(good === -1 ? {} : { failed: lines[good] ?? "" }),
        });
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
