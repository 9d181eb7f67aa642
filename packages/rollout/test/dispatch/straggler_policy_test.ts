import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EnginePace } from "../../src/dispatch/engine_pace.ts";
import {
  decideMoves,
  type RunningSample,
} from "../../src/dispatch/straggler_policy.ts";

describe("decideMoves", () => {
  function createAttempt(changes: Partial<RunningSample> = {}): RunningSample {
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
    attempts: readonly RunningSample[],
    expected: readonly string[],
  ): void {
    it(name, () => {
      assert.deepEqual(
        decideMoves(attempts, [fast]).map(({ sample }) => sample),
        expected,
      );
    });
  }

  testMoves("moves a sample off a slow engine", [createAttempt()], ["a"]);
  testMoves(
    "moves the sample that saves the most time when there are too few slots",
    [
      createAttempt(),
      createAttempt({ sample: "b", expectedLeft: 90 }),
    ],
    ["b"],
  );
  testMoves("does not move a sample that would end soon", [
    createAttempt({ expectedLeft: 2 }),
  ], []);
  testMoves("does not move a sample whose engine is nearly as fast", [
    createAttempt({ tookMs: 400 }),
  ], []);
  testMoves("does not move a sample that has just started", [
    createAttempt({ events: 0, tookMs: 300 }),
  ], []);
  testMoves("moves a sample without events after the time limit", [
    createAttempt({ events: 0, tookMs: 800 }),
  ], ["a"]);
  testMoves("does not move a sample more often than the limit", [
    createAttempt({ moves: 3 }),
  ], []);
});

describe("EnginePace", () => {
  it("returns an engine's own time per event, and the mean for engines without observations", () => {
    const tracker = new EnginePace();
    assert.equal(tracker.getEventMs("a", 0), undefined);
    tracker.addRun("a", { events: 10, tookMs: 400, nowMs: 0 });
    tracker.addRun("b", { events: 10, tookMs: 1_200, nowMs: 0 });
    assert.equal(tracker.getEventMs("a", 1), 40);
    assert.equal(tracker.getEventMs("c", 1), 80);
    assert.equal(tracker.getRatio("b", 1), 1.5);
  });

  it("ignores old observations and attempts with few events", () => {
    const tracker = new EnginePace();
    tracker.addRun("a", { events: 2, tookMs: 400, nowMs: 0 });
    assert.equal(tracker.getEventMs("a", 1), undefined);
    tracker.addRun("a", { events: 10, tookMs: 400, nowMs: 0 });
    assert.equal(tracker.getEventMs("a", 5_000), undefined);
  });
});
