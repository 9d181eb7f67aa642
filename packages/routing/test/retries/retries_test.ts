import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { computeBackoffMs } from "../../src/retries/backoff.ts";
import { HedgePolicy } from "../../src/retries/hedge_policy.ts";
import { OutlierEjector } from "../../src/retries/outlier_ejector.ts";
import { RetryBudget } from "../../src/retries/retry_budget.ts";
import { SpeedTracker } from "../../src/retries/speed_tracker.ts";

describe("RetryBudget.acquire", () => {
  it("limits retries to a tenth of the requests if all requests fail", () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let count = 0; count < 10_000; count++) {
      budget.recordRequest();
      retries += budget.acquire() ? 1 : 0;
    }
    assert.ok(retries <= 1020, `${retries} retries of 10,000 requests`);
  });
});

describe("computeBackoffMs", () => {
  it("grows up to the maximum and is spread by jitter", () => {
    const random = new SeededRandom(1);
    for (const [attempt, maxMs] of [[1, 40], [2, 80], [20, 1000]] as const) {
      const backoffsMs = Array.from(
        { length: 200 },
        () => computeBackoffMs(attempt, { random }),
      );
      assert.ok(
        Math.max(...backoffsMs) <= maxMs &&
          Math.min(...backoffsMs) < maxMs / 10,
      );
    }
  });
});

describe("OutlierEjector", () => {
  const recordThreeFailures = (
    ejector: OutlierEjector,
    id: string,
    nowMs: number,
  ) => {
    for (let count = 0; count < 3; count++) {
      ejector.recordFailure(id, { nowMs, total: 6 });
    }
  };

  it("ejects after consecutive failures and restores the share of picks gradually", () => {
    const ejector = new OutlierEjector();
    ejector.recordFailure("e", { nowMs: 0, total: 6 });
    ejector.recordFailure("e", { nowMs: 0, total: 6 });
    ejector.recordSuccess("e", 0);
    ejector.recordFailure("e", { nowMs: 0, total: 6 });
    assert.equal(ejector.getPickShare("e", 0), 1);
    recordThreeFailures(ejector, "e", 0);
    assert.equal(ejector.getPickShare("e", 1999), 0);
    assert.equal(ejector.getPickShare("e", 2000), 0.05);
    assert.equal(ejector.getPickShare("e", 7000), 0.5);
    assert.equal(ejector.getPickShare("e", 12_000), 1);
  });

  it("ejects for longer each time, and never more than a third of the endpoints", () => {
    const ejector = new OutlierEjector();
    recordThreeFailures(ejector, "e0", 0);
    recordThreeFailures(ejector, "e0", 2000);
    assert.equal(ejector.getPickShare("e0", 5999), 0);
    ["e1", "e2", "e3", "e4", "e5"].forEach((id) =>
      recordThreeFailures(ejector, id, 3000)
    );
    const ejected = ["e0", "e1", "e2", "e3", "e4", "e5"]
      .filter((id) => ejector.getPickShare(id, 3001) === 0);
    assert.equal(ejected.length, 2);
  });
});

describe("SpeedTracker.getMsPerToken", () => {
  it("reports a slow engine as slow until the measurement has decayed", () => {
    const tracker = new SpeedTracker();
    for (let count = 0; count < 20; count++) {
      for (const [engine, elapsedMs] of [["a", 120], ["b", 120], ["c", 1200]]) {
        tracker.recordTokens(engine as string, {
          tokens: 10,
          elapsedMs: elapsedMs as number,
          nowMs: count,
        });
      }
    }
    assert.ok(tracker.getMsPerToken("c", 20) > 100);
    assert.ok(tracker.getMsPerToken("a", 20) < 13);
    assert.ok(tracker.getMsPerToken("c", 200_000) < 13);
    assert.ok(tracker.getMsPerToken("unknown", 20) < 13);
  });
});

describe("HedgePolicy.getDelayMs", () => {
  it("returns no delay without samples, then approximates the 95th percentile", () => {
    const policy = new HedgePolicy();
    const random = new SeededRandom(2);
    assert.equal(policy.getDelayMs(), undefined);
    const samples = Array.from({ length: 5000 }, () => 100 * random.getFloat());
    samples.forEach((sample) => policy.recordFirstToken(sample + 100));
    const delayMs = policy.getDelayMs() ?? 0;
    const aboveDelay =
      samples.filter((sample) => sample + 100 > delayMs).length;
    assert.ok(
      aboveDelay / samples.length < 0.15,
      `${aboveDelay} samples above the delay`,
    );
    assert.ok(delayMs < 250, `delay of ${delayMs} ms`);
  });
});
