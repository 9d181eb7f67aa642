import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TurnQueue } from "../../src/http/turn_queue.ts";

describe("TurnQueue.add", () => {
  async function doTest(
    tasks: number,
    expected: readonly number[],
  ): Promise<void> {
    const queue = new TurnQueue(8);
    const order: number[] = [];
    const counts: number[] = [];
    for (let task = 0; task < tasks; task++) {
      queue.add(() => order.push(task));
    }
    for (let done = 0; counts.length < expected.length;) {
      counts.push(order.length - done);
      done = order.length;
      await new Promise((resolve) => setImmediate(resolve));
    }
    assert.deepEqual(counts, expected);
    assert.deepEqual(order, Array.from({ length: tasks }, (_, task) => task));
  }

  it("runs tasks up to the limit immediately and the others in later turns, in order", async () => {
    await doTest(3, [3, 0]);
    await doTest(8, [8, 0, 0]);
    await doTest(20, [8, 8, 4, 0]);
  });
});
