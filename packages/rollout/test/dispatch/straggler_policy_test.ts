import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventTimeTracker } from "../../src/dispatch/event_time_tracker.ts";
import {
  decideMoves,
  type RunningAttempt,
} from "../../src/dispatch/straggler_policy.ts";

describe("decideMoves", () => {
  function createAttempt(
    changes: Partial<RunningAttempt> = {},
  ): RunningAttempt {
    return {
      sample: "a",
      softwareVersion: "v1",
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
    attempts: readonly RunningAttempt[],
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

describe("EventTimeTracker", () => {
  it("returns an engine's own time per event, and the mean for engines without observations", () => {
    const tracker = new EventTimeTracker();
    assert.equal(tracker.getEventMs("a", 0), undefined);
    tracker.addAttempt("a", { events: 10, tookMs: 400, nowMs: 0 });
    tracker.addAttempt("b", { events: 10, tookMs: 1_200, nowMs: 0 });
    assert.equal(tracker.getEventMs("a", 1), 40);
    assert.equal(tracker.getEventMs("c", 1), 80);
    assert.equal(tracker.getRelativeEventTime("b", 1), 1.5);
  });

  it("ignores old observations and attempts with few events", () => {
    const tracker = new EventTimeTracker();
    tracker.addAttempt("a", { events: 2, tookMs: 400, nowMs: 0 });
    assert.equal(tracker.getEventMs("a", 1), undefined);
    tracker.addAttempt("a", { events: 10, tookMs: 400, nowMs: 0 });
    assert.equal(tracker.getEventMs("a", 5_000), undefined);
  });
});
