import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SampleTask } from "../../src/dispatch/sample_task.ts";
import type { SampleProgress } from "../../src/ledger/lot_request.ts";

function createTask(): SampleTask {
  return new SampleTask({
    id: "a",
    path: "/a",
    headers: [],
    body: "",
    group: "g",
    expectedTokens: 1,
  });
}

const PROGRESS: SampleProgress = {
  sample: "a",
  fromEvent: 0,
  texts: ["x", "y"],
  lastEventId: 1,
  versions: [1],
  softwareVersion: "v1",
};

/** Texts of two software versions don't fit together. */
describe("SampleTask.startAttempt", () => {
  it("keeps the events of the same software version and discards those of another", () => {
    const task = createTask();
    task.resume(PROGRESS);
    assert.equal(task.softwareVersion, "v1");
    task.startAttempt("v1");
    assert.equal(task.eventCount, 2);
    task.startAttempt("v2");
    assert.equal(task.eventCount, 0);
    assert.equal(task.softwareVersion, undefined);
  });

  it("keeps the software version of an earlier lot's task", () => {
    const earlier = createTask();
    earlier.resume(PROGRESS);
    const task = createTask();
    assert.equal(task.mergeTask(earlier, 1), true);
    assert.equal(task.softwareVersion, "v1");
  });
});

describe("SampleTask.resume", () => {
  it("ignores progress that does not tell its software version", () => {
    const task = createTask();
    const { softwareVersion: _unknown, ...progress } = PROGRESS;
    task.resume(progress);
    assert.equal(task.eventCount, 0);
  });
});
