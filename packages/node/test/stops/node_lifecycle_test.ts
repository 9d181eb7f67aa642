import { Logger } from "@briarhill/common/logging/logger";
import { ManualClock } from "@briarhill/common/time/manual_clock";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import type { DrainStage } from "../../src/stops/lifecycle.ts";
import { NodeLifecycle } from "../../src/stops/node_lifecycle.ts";

const BOUND_MS = 10_000;
const STEP_MS = 100;

async function runDrain(
  steps: Readonly<Partial<Record<DrainStage, "ends" | "hangs" | "fails">>>,
): Promise<{ readonly ended: readonly string[]; readonly tookMs: number }> {
  const clock = new ManualClock();
  const lifecycle = new NodeLifecycle(clock, Logger.create({}));
  const ended: string[] = [];
  for (const stage of ["release", "finish-calls", "hand-over"] as const) {
    lifecycle.addDrainStep(stage, () => {
      switch (steps[stage]) {
        case "hangs":
          return new Promise(() => {});
        case "fails":
          return Promise.reject(new TypeError("broken"));
        default:
          ended.push(stage);
          return Promise.resolve();
      }
    });
  }
  lifecycle.setAccepting();
  assert.ok(lifecycle.isAccepting());
  let isDone = false;
  const drain = lifecycle.runDrain(BOUND_MS).then(() => isDone = true);
  assert.ok(!lifecycle.isAccepting());
  while (!isDone && clock.getMonotonicMs() <= BOUND_MS) {
    await setImmediate();
    clock.advance(isDone ? 0 : STEP_MS);
  }
  await drain;
  return { ended, tookMs: clock.getMonotonicMs() };
}

describe("NodeLifecycle.runDrain", () => {
  it("runs the stages in order", async () => {
    const { ended } = await runDrain({});
    assert.deepEqual(ended, ["hand-over", "finish-calls", "release"]);
  });

  it("runs the later stages in under half the timeout when the log does not respond", async () => {
    const { ended, tookMs } = await runDrain({ "hand-over": "hangs" });
    assert.deepEqual(ended, ["finish-calls", "release"]);
    assert.ok(tookMs < BOUND_MS / 2);
  });

  it("continues with the next stage after a failed step", async () => {
    const { ended } = await runDrain({ "hand-over": "fails" });
    assert.deepEqual(ended, ["finish-calls", "release"]);
  });

  it("ends within the timeout when finishing calls hangs", async () => {
    const { ended, tookMs } = await runDrain({ "finish-calls": "hangs" });
    assert.deepEqual(ended, ["hand-over", "release"]);
    assert.ok(tookMs <= BOUND_MS);
  });

  it("accepts no work while operators drain the host", () => {
    const lifecycle = new NodeLifecycle(new ManualClock(), Logger.create({}));
    let draining = true;
    lifecycle.setDrainRule(() => draining);
    lifecycle.setAccepting();
    assert.ok(!lifecycle.isAccepting());
    draining = false;
    assert.ok(lifecycle.isAccepting());
  });

  it("accepts no work once superseded, and reports the reason", () => {
    const lifecycle = new NodeLifecycle(new ManualClock(), Logger.create({}));
    assert.equal(lifecycle.getClosedReason(), "not-started");
    lifecycle.setAccepting();
    assert.equal(lifecycle.getClosedReason(), undefined);
    lifecycle.setSuperseded();
    lifecycle.setAccepting();
    assert.equal(lifecycle.getClosedReason(), "superseded");
    assert.ok(!lifecycle.isAccepting());
  });
});
