import { ResponseMemory } from "@briarhill/common/http/response_memory";
import { Logger, setLogWriter } from "@briarhill/common/logging/logger";
import { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { KeptEvents } from "../../src/lots/kept_events.ts";

setLogWriter(() => undefined);

const LIMIT_BYTES = 10_000;
const BROKEN = { end: "broken", reason: "cut" } as const;

function createTask(id: string, characters: number): SampleTask {
  const task = new SampleTask({
    id,
    path: "/",
    headers: [],
    body: "",
    expectedTokens: 10,
    group: "g",
  });
  const data = "x".repeat(characters);
  assert.equal(task.addEvent({ id: 0, data, version: 1 }, 1), "taken");
  return task;
}

/** Broken attempts left the texts of their samples in memory, outside of any account. */
describe("KeptEvents", () => {
  function createKept(running: readonly string[]) {
    const endpointResponses = new ResponseMemory({ limitBytes: LIMIT_BYTES });
    const aborted: string[] = [];
    const kept = new KeptEvents({
      endpointResponses,
      logger: Logger.create({}),
      lot: "l",
      abortAttempt: (sample) => {
        const isRunning = running.includes(sample);
        if (isRunning) {
          aborted.push(sample);
        }
        return isRunning;
      },
    });
    const add = (task: SampleTask) => kept.setBytes(task, task.heldBytes);
    return { kept, endpointResponses, aborted, add };
  }

  it("keeps the events of a broken attempt in the account, not those of a finished one", () => {
    const { kept, endpointResponses, add } = createKept([]);
    const [broken, finished] = [createTask("a", 1_000), createTask("b", 500)];
    [broken, finished].forEach(add);
    assert.deepEqual(kept.settleAttempt(broken, BROKEN), BROKEN);
    kept.settleAttempt(finished, { end: "finished", reason: "" });
    assert.equal(endpointResponses.usedBytes, broken.heldBytes);
    kept.close();
    assert.equal(endpointResponses.usedBytes, 0);
  });

  it("ends the attempt at the largest sample when there is no room", () => {
    const { kept, aborted, add } = createKept(["a", "b"]);
    const [large, small] = [createTask("a", 4_000), createTask("b", 1_000)];
    [large, small].forEach(add);
    assert.deepEqual(aborted, ["a"]);
    const cancelled = { end: "cancelled", reason: "cancelled" } as const;
    assert.deepEqual(kept.settleAttempt(large, cancelled), {
      end: "broken",
      reason: "no-room",
    });
    assert.deepEqual(kept.settleAttempt(small, cancelled), cancelled);
  });

  it("discards the events of the largest sample that waits when there is no room", () => {
    const { kept, aborted, add } = createKept([]);
    const [large, small] = [createTask("a", 4_000), createTask("b", 1_000)];
    [large, small].forEach((task) => {
      add(task);
      kept.settleAttempt(task, BROKEN);
    });
    assert.deepEqual(aborted, []);
    assert.equal(large.eventCount, 0);
    assert.equal(small.eventCount, 1);
  });
});
