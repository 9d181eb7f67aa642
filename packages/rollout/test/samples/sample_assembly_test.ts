import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type AssemblyState,
  SampleAssembly,
  type SampleChunk,
} from "../../src/samples/sample_assembly.ts";

interface Row {
  readonly name: string;
  readonly chunks: readonly SampleChunk[];
  readonly state: AssemblyState;
  readonly spans: readonly (readonly [number, number, number])[];
}

function chunk(
  fromToken: number,
  tokens: string,
  version?: number,
  finishReason?: "stop",
): SampleChunk {
  return {
    fromToken,
    tokens: [...tokens],
    ...(version === undefined ? {} : { version }),
    ...(finishReason === undefined ? {} : { finishReason }),
  };
}

const ROWS: readonly Row[] = [
  {
    name: "one version",
    chunks: [chunk(0, "ab", 3), chunk(2, "c", 3, "stop")],
    state: "finished",
    spans: [[0, 3, 3]],
  },
  {
    name: "a weight update in mid-sample",
    chunks: [chunk(0, "ab", 3), chunk(2, "cd", 4), chunk(4, "e", 4, "stop")],
    state: "finished",
    spans: [[0, 2, 3], [2, 5, 4]],
  },
  {
    name: "a failed weight update that reverts to the old version",
    chunks: [chunk(0, "a", 3), chunk(1, "b", 4), chunk(2, "c", 3, "stop")],
    state: "finished",
    spans: [[0, 1, 3], [1, 2, 4], [2, 3, 3]],
  },
  {
    name: "an engine that serves another version than ordered",
    chunks: [chunk(0, "abc", 2, "stop")],
    state: "finished",
    spans: [[0, 3, 2]],
  },
  {
    name: "a late chunk that repeats tokens under another version",
    chunks: [chunk(0, "abc", 3), chunk(1, "bcd", 4), chunk(4, "e", 4, "stop")],
    state: "finished",
    spans: [[0, 3, 3], [3, 5, 4]],
  },
  {
    name: "a late chunk without new tokens",
    chunks: [chunk(0, "abc", 3), chunk(0, "ab"), chunk(3, "", 4, "stop")],
    state: "finished",
    spans: [[0, 3, 3]],
  },
  {
    name: "generation that another engine resumes after a prefix",
    chunks: [chunk(0, "ab", 3), chunk(2, "cd", 5, "stop")],
    state: "finished",
    spans: [[0, 2, 3], [2, 4, 5]],
  },
  {
    name: "a chunk without a version",
    chunks: [chunk(0, "ab", 3), chunk(2, "c"), chunk(3, "d", 3, "stop")],
    state: "unversioned",
    spans: [[0, 2, 3]],
  },
  {
    name: "an end without any token",
    chunks: [chunk(0, "", undefined, "stop")],
    state: "unversioned",
    spans: [],
  },
  {
    name: "a gap",
    chunks: [chunk(0, "ab", 3), chunk(3, "d", 3, "stop")],
    state: "gap",
    spans: [[0, 2, 3]],
  },
  {
    name: "a chunk after the end",
    chunks: [chunk(0, "ab", 3, "stop"), chunk(2, "c", 4)],
    state: "finished",
    spans: [[0, 2, 3]],
  },
];

describe("SampleAssembly.addChunk", () => {
  for (const row of ROWS) {
    it(`handles ${row.name}`, () => {
      const assembly = new SampleAssembly();
      row.chunks.forEach((part) => assembly.addChunk(part));
      assert.equal(assembly.getState(), row.state);
      assert.deepEqual(
        assembly.getSpans().map((s) => [s.fromToken, s.toToken, s.version]),
        row.spans,
      );
      assert.equal(assembly.getText().text.length, assembly.getTokens());
    });
  }
});
