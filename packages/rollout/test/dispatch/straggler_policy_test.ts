import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EnginePace } from "../../src/dispatch/engine_pace.ts";
import {
  decideMoves,
  type RunningSample,
} from "../../src/dispatch/straggler_policy.ts";

describe("decideMoves", () => {
  function createRun(changes: Partial<RunningSample> = {}): RunningSample {
    return {
      sample: "a",
      engine: "slow",
      events: 10,
      tookMs: 1_100,
      expectedLeft: 40,
      moves: 0,
      ...changes,
    };
  }

  const fast = { id: "fast", eventMs: 35, freeSlots: 1 };

  function testMoves(
    name: string,
    runs: readonly RunningSample[],
    expected: readonly string[],
  ): void {
    it(name, () => {
      assert.deepEqual(
        decideMoves(runs, [fast]).map(({ sample }) => sample),
        expected,
      );
    });
  }

  testMoves("moves a sample off a slow engine", [createRun()], ["a"]);
  testMoves("moves the one that gains most when slots are few", [
    createRun(),
    createRun({ sample: "b", expectedLeft: 90 }),
  ], ["b"]);
  testMoves("leaves one that would soon end", [
    createRun({ expectedLeft: 2 }),
  ], []);
  testMoves("leaves one on an engine of the same pace", [
    createRun({ tookMs: 400 }),
  ], []);
  testMoves("leaves one that has just begun", [
    createRun({ events: 0, tookMs: 300 }),
  ], []);
  testMoves("moves one that does not begin", [
    createRun({ events: 0, tookMs: 800 }),
  ], ["a"]);
  testMoves("does not move one again and again", [
    createRun({ moves: 3 }),
  ], []);
});

describe("EnginePace", () => {
  it("knows an engine's own pace, and the mean for others", () => {
    const pace = new EnginePace();
    assert.equal(pace.getEventMs("a", 0), undefined);
    pace.addRun("a", { events: 10, tookMs: 400, nowMs: 0 });
    pace.addRun("b", { events: 10, tookMs: 1_200, nowMs: 0 });
    assert.equal(pace.getEventMs("a", 1), 40);
    assert.equal(pace.getEventMs("c", 1), 80);
    assert.equal(pace.getRatio("b", 1), 1.5);
  });

  it("forgets what is old and ignores runs of few events", () => {
    const pace = new EnginePace();
    pace.addRun("a", { events: 2, tookMs: 400, nowMs: 0 });
    assert.equal(pace.getEventMs("a", 1), undefined);
    pace.addRun("a", { events: 10, tookMs: 400, nowMs: 0 });
    assert.equal(pace.getEventMs("a", 5_000), undefined);
  });
});
