import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  advanceStop,
  createStopState,
  getStopCommand,
  listIncompleteStages,
  type StopEvent,
} from "../../src/drain/stop_machine.ts";

const BOUND_MS = 10_000;
const STOP: StopEvent = { type: "stop", nowMs: 0, boundMs: BOUND_MS };

describe("advanceStop", () => {
  it("runs the stages in order and within the time bound", () => {
    let state = createStopState();
    assert.equal(getStopCommand(state, 0), undefined);
    state = advanceStop(state, STOP);
    const stages: string[] = [];
    let nowMs = 0;
    for (
      let command = getStopCommand(state, nowMs);
      command !== undefined;
      command = getStopCommand(state, nowMs)
    ) {
      stages.push(command.stage);
      nowMs += command.budgetMs;
      state = advanceStop(state, { type: "ended", nowMs, isComplete: false });
    }
    assert.deepEqual(stages, ["hand-over", "finish-calls", "release"]);
    assert.deepEqual(listIncompleteStages(state), stages);
    assert.ok(nowMs <= BOUND_MS);
  });

  it("reserves most of the time bound for calls when the hand-over times out", () => {
    let state = advanceStop(createStopState(), STOP);
    const handOver = getStopCommand(state, 0);
    assert.ok(handOver !== undefined && handOver.budgetMs <= BOUND_MS / 4);
    const nowMs = handOver.budgetMs;
    state = advanceStop(state, { type: "ended", nowMs, isComplete: false });
    const calls = getStopCommand(state, nowMs);
    assert.ok(calls !== undefined && calls.budgetMs >= BOUND_MS * 0.6);
    assert.deepEqual(listIncompleteStages(state), ["hand-over"]);
  });

  it("ignores a second stop event", () => {
    const state = advanceStop(createStopState(), STOP);
    const again = advanceStop(state, { ...STOP, nowMs: 5_000 });
    assert.deepEqual(getStopCommand(again, 0), getStopCommand(state, 0));
  });
});
