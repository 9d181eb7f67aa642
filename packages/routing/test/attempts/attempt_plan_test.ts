import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  AttemptPlan,
  type AttemptPlanOptions,
  type AttemptResult,
} from "../../src/attempts/attempt_plan.ts";

const FULL: AttemptResult = { kind: "not-run", reason: "full" };
const REJECTED: AttemptResult = { kind: "not-run", reason: "refused" };
const LOST: AttemptResult = { kind: "lost", reason: "reset" };
const FAILED: AttemptResult = { kind: "answered", isFailure: true };
const SERVED: AttemptResult = { kind: "answered", isFailure: false };

function createPlan(options: Partial<AttemptPlanOptions> = {}): AttemptPlan {
  return new AttemptPlan({
    startedAtMs: 0,
    deadlineMs: 2_000,
    maxAttempts: 3,
    isRepeatable: true,
    hedgeAfterMs: 75,
    ...options,
  });
}

describe("AttemptPlan.settleAttempt", () => {
  function checkOutcome(
    ends: readonly AttemptResult[],
    expected: { readonly outcome: string; readonly canRetry: boolean },
    isRepeatable = true,
  ): void {
    const plan = createPlan({ isRepeatable });
    for (const end of ends) {
      plan.startAttempt();
      plan.settleAttempt(end);
    }
    const { outcome } = plan;
    assert.deepEqual({ outcome, canRetry: plan.canRetry(10) }, expected);
  }

  it("retries after rejections, which don't count towards the limit", () => {
    const ends = [REJECTED, REJECTED, REJECTED, REJECTED];
    checkOutcome(ends, { outcome: "not-run", canRetry: true });
    checkOutcome(ends, { outcome: "not-run", canRetry: true }, false);
  });

  it("retries after a lost response only if the request is repeatable", () => {
    checkOutcome([LOST], { outcome: "unknown", canRetry: true });
    checkOutcome([LOST], { outcome: "unknown", canRetry: false }, false);
    checkOutcome([LOST, REJECTED], { outcome: "unknown", canRetry: true });
  });

  it("allows no more than the maximum number of attempts", () => {
    const ends = [LOST, FAILED, LOST];
    checkOutcome(ends, { outcome: "unknown", canRetry: false });
  });

  it("treats a failure as final if the request is not repeatable", () => {
    const plan = createPlan({ isRepeatable: false });
    plan.startAttempt();
    assert.equal(plan.settleAttempt(FAILED), true);
  });

  it("counts responses that report a failure", () => {
    const plan = createPlan();
    plan.startAttempt();
    assert.equal(plan.settleAttempt(FAILED), false);
    plan.startAttempt();
    assert.equal(plan.settleAttempt(SERVED), true);
    assert.equal(plan.failures, 1);
  });
});

describe("AttemptPlan.outcome", () => {
  it("never reports not-run for a request that an endpoint may have run", () => {
    const end = fc.constantFrom(FULL, REJECTED, LOST, FAILED);
    fc.assert(
      fc.property(
        fc.array(end, { maxLength: 6 }),
        fc.nat(2),
        (ends, open) => {
          const plan = createPlan();
          ends.forEach((result) => {
            plan.startAttempt();
            plan.settleAttempt(result);
          });
          for (let count = 0; count < open; count++) {
            plan.startAttempt();
          }
          const mayHaveRun = open > 0 ||
            ends.some((result) => result === LOST || result === FAILED);
          assert.equal(plan.outcome, mayHaveRun ? "unknown" : "not-run");
        },
      ),
      { seed: 1 },
    );
  });
});

describe("AttemptPlan.getWait", () => {
  it("retries full endpoints until half of the time to the deadline has passed", () => {
    const plan = createPlan();
    let nowMs = 0;
    let attempts = 0;
    while (plan.canRetry(nowMs)) {
      plan.startAttempt();
      plan.settleAttempt(FULL);
      attempts++;
      nowMs = plan.getWait(nowMs).untilMs;
    }
    assert.equal(nowMs, 1_000);
    assert.equal(attempts, 40);
  });

  it("schedules a second attempt after the hedging delay", () => {
    const plan = createPlan();
    plan.startAttempt();
    assert.deepEqual(plan.getWait(5), { untilMs: 80, isDeadline: false });
  });

  it("waits until the deadline if the request is not repeatable", () => {
    const plan = createPlan({ isRepeatable: false });
    plan.startAttempt();
    assert.deepEqual(plan.getWait(5), { untilMs: 2_000, isDeadline: true });
  });

  it("tries another endpoint without backoff after a reset", () => {
    const plan = createPlan();
    plan.startAttempt();
    plan.settleAttempt(LOST);
    assert.equal(plan.getWait(5).untilMs, 6);
  });
});
