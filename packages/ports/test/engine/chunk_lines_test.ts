import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { GENERATE_CHUNK } from "../../src/engine/engine_schema.ts";
import { parseJsonOrUndefined } from "../../src/http/json.ts";
import { parseChunkLines } from "../../src/engine/chunk_lines.ts";

const SEED = 11;
const RUNS = 2000;

function createLine(fromToken: number): string {
  return JSON.stringify({ requestId: "r", fromToken, tokens: ["t"] });
}

describe("parseChunkLines", () => {
  function doTest(
    lines: readonly string[],
    expected: { readonly chunks: number; readonly invalidLine?: string },
  ): void {
    const { chunks, invalidLine } = parseChunkLines(lines);
    assert.equal(chunks.length, expected.chunks);
    assert.equal(invalidLine, expected.invalidLine);
  }

  it("returns the chunks before the first invalid line, and that line", () => {
    const [first, second] = [createLine(0), createLine(1)];
    doTest([], { chunks: 0 });
    doTest([first, second], { chunks: 2 });
    doTest([first, "{", second], { chunks: 1, invalidLine: "{" });
    doTest([first, "{}", second], { chunks: 1, invalidLine: "{}" });
    doTest(["]", first], { chunks: 0, invalidLine: "]" });
    const joined = `${first},${second}`;
    doTest([joined], { chunks: 0, invalidLine: joined });
    const fragments = [first.slice(0, 20), first.slice(21)];
    doTest(fragments, { chunks: 0, invalidLine: fragments[0] ?? "" });
  });

  it("returns the same result as validating each line separately", () => {
    const values = fc.constantFrom(-1, 1.5, 2 ** 53, "1", null, [], {}, [1]);
    const field = fc.constantFrom(
      "requestId",
      "fromToken",
      "tokens",
      "version",
      "finishReason",
    );
    const line = fc.oneof(
      fc.nat(5).map(createLine),
      fc.tuple(field, values).map(([name, value]) =>
        JSON.stringify({ ...JSON.parse(createLine(0)), [name]: value })
      ),
      fc.constantFrom("{", "}", "null", "[]", `${createLine(0)},`, `{"a":1}`),
    );
    fc.assert(
      fc.property(fc.array(line, { maxLength: 8 }), (lines) => {
        const invalidIndex = lines.findIndex((each) =>
          !GENERATE_CHUNK.safeParse(parseJsonOrUndefined(each)).success
        );
        doTest(lines, {
          chunks: invalidIndex === -1 ? lines.length : invalidIndex,
          ...(invalidIndex === -1
            ? {}
            : { invalidLine: lines[invalidIndex] ?? "" }),
        });
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
