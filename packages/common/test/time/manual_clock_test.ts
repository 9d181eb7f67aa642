import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/time/manual_clock.ts";

describe("ManualClock", () => {
  it("fires timers in the order of their due times", () => {
    const clock = new ManualClock();
    const fired: string[] = [];
    clock.setTimer(20, () => fired.push("second"));
    clock.setTimer(10, () => {
      fired.push("first");
      clock.setTimer(5, () => fired.push("nested"));
    });
    clock.advance(20);
    assert.deepEqual(fired, ["first", "nested", "second"]);
  });

  it("does not change monotonic time when the wall clock is stepped", () => {
    const clock = new ManualClock(1000);
    clock.advanceWallClock(-500);
    assert.equal(clock.getMonotonicMs(), 1000);
    assert.equal(clock.getWallMs(), 500);
  });

  it("resolves a sleep when its signal aborts", async () => {
    const clock = new ManualClock();
    const controller = new AbortController();
    const sleep = clock.sleep(1000, controller.signal);
    controller.abort();
    await sleep;
    assert.equal(clock.getMonotonicMs(), 0);
  });
});
