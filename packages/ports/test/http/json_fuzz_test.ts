import { PortError } from "@briarhill/common/errors/errors";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { GENERATE_CHUNK, LOAD_REPORT } from "../../src/engine/engine_schema.ts";
import { ENDPOINT_LIST } from "../../src/hosts/http_host_list.ts";
import { parseJson } from "../../src/http/json.ts";
import { readLines } from "../../src/http/line_reader.ts";
import { createRejectionError } from "../../src/http/rejection.ts";
import { LOG_PAGE } from "../../src/log/http_log_service.ts";

const SEED = 99;
const RUNS = 2000;
const SOURCE = { port: "test", operation: "fuzz" };
const LINE_OPTIONS = { ...SOURCE, maxLineBytes: 200 };
const ENDPOINT = {
  id: "e",
  kind: "engine",
  address: "http://127.0.0.1:1",
  failureDomain: "a",
  region: "r",
  incarnation: 1,
  state: "live",
  models: ["m"],
  service: "",
  checksFencing: true,
};
const CORPUS: readonly unknown[] = [
  { requestId: "r", fromToken: 0, tokens: ["a"], version: 1 },
  { requestId: "r", fromToken: 1, tokens: [], finishReason: "stop" },
  { records: [{ offset: 0, timeMs: 1, value: "x" }], first: 0, end: 1 },
  { endpoints: [ENDPOINT] },
  { endpoints: [ENDPOINT, ENDPOINT] },
  { title: "t", outcome: "not-run", retryAfterMs: 5, fenced: true },
  null,
  [],
  "",
  0,
];
const SCHEMAS = [GENERATE_CHUNK, LOAD_REPORT, ENDPOINT_LIST, LOG_PAGE];

/**
 * Creates values of the corpus, some with one field replaced by an arbitrary
 * JSON value, and arbitrary JSON values.
 */
function createValues(): fc.Arbitrary<unknown> {
  const mutated = fc.tuple(fc.constantFrom(...CORPUS), fc.nat(), fc.jsonValue())
    .map(([base, pick, value]) => {
      const entries = Object.entries(base ?? {});
      const key = entries[pick % Math.max(1, entries.length)]?.[0];
      return key === undefined ? value : { ...base as object, [key]: value };
    });
  return fc.oneof(fc.constantFrom(...CORPUS), mutated, fc.jsonValue());
}

/**
 * Creates JSON texts of such values, some truncated and followed by random
 * characters.
 */
function createTexts(): fc.Arbitrary<string> {
  const noise = fc.string({ unit: "binary", maxLength: 4 });
  return fc.tuple(createValues(), fc.nat({ max: 200 }), noise, fc.boolean())
    .map(([value, at, inserted, isComplete]) => {
      const text = JSON.stringify(value);
      return isComplete ? text : text.slice(0, at) + inserted;
    });
}

describe("parseJson", () => {
  it("returns a valid value or throws a PortError for any text", () => {
    fc.assert(
      fc.property(
        createTexts(),
        fc.constantFrom(...SCHEMAS),
        (text, schema) => {
          try {
            const value = parseJson(text, { ...SOURCE, schema });
            assert.equal(schema.safeParse(value).success, true);
          } catch (error) {
            assert(error instanceof PortError, String(error));
            assert.equal(error.fault, "malformed");
          }
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  function doOrderTest(offsets: readonly number[], expected: boolean): void {
    const records = offsets.map((offset) => ({ offset, timeMs: 0, value: "" }));
    const page = { records, first: 1, end: 5 };
    assert.equal(LOG_PAGE.safeParse(page).success, expected, String(offsets));
  }

  it("accepts only log records that are in order and within their bounds", () => {
    doOrderTest([1, 2, 4], true);
    doOrderTest([2, 1], false);
    doOrderTest([1, 1], false);
    doOrderTest([0, 1], false);
    doOrderTest([4, 5], false);
  });
});

describe("createRejectionError", () => {
  it("reports not-run only if the body does", () => {
    fc.assert(
      fc.property(createTexts(), fc.integer({ min: 300, max: 599 }), (
        text,
        status,
      ) => {
        const call = { operation: "fuzz" };
        const response = { status };
        const error = createRejectionError({
          port: "test",
          call,
          response,
          text,
        });
        if (error.outcome === "not-run") {
          const body = JSON.parse(text);
          assert(body.outcome === "not-run" || body.fenced === true);
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});

describe("readLines", () => {
  async function* split(bytes: Uint8Array, cuts: readonly number[]) {
    const boundaries = [0, ...cuts, bytes.length].sort((a, b) => a - b);
    for (const [index, from] of boundaries.entries()) {
      yield bytes.subarray(from, boundaries[index + 1] ?? bytes.length);
    }
  }

  async function readAll(parts: AsyncIterable<Uint8Array>): Promise<string[]> {
    const lines: string[] = [];
    for await (const line of readLines(parts, LINE_OPTIONS)) {
      lines.push(line);
    }
    return lines;
  }

  it("returns the same lines for any split of the bytes", async () => {
    const line = fc.string({ unit: "grapheme", minLength: 1, maxLength: 8 })
      .filter((text) => text.trim() !== "" && !text.includes("\n"));
    await fc.assert(
      fc.asyncProperty(
        fc.array(line, { maxLength: 8 }),
        fc.array(fc.nat({ max: 60 }), { maxLength: 5 }),
        async (lines, cuts) => {
          const text = lines.map((content) => content + "\n").join("");
          const bytes = Buffer.from(text);
          const validCuts = cuts.filter((cut) => cut < bytes.length);
          const actual = await readAll(split(bytes, validCuts));
          assert.deepEqual(actual, lines);
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });

  it("either returns lines or throws a PortError for any bytes", async () => {
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 600 }), async (bytes) => {
        try {
          await readAll(split(bytes, []));
        } catch (error) {
          assert(error instanceof PortError, String(error));
          assert.equal(error.fault, "malformed");
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
