import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type AttemptEnd,
  AttemptPlan,
  type AttemptTerms,
} from "../../src/attempts/attempt_plan.ts";

const FULL: AttemptEnd = { kind: "not-run", reason: "full" };
const REFUSED: AttemptEnd = { kind: "not-run", reason: "refused" };
const LOST: AttemptEnd = { kind: "lost", reason: "reset" };
const FAILED: AttemptEnd = { kind: "answered", isFailure: true };
const SERVED: AttemptEnd = { kind: "answered", isFailure: false };

function createPlan(terms: Partial<AttemptTerms> = {}): AttemptPlan {
  return new AttemptPlan({
    startedAtMs: 0,
    deadlineMs: 2_000,
    maxAttempts: 3,
    isRepeatable: true,
    hedgeAfterMs: 75,
    ...terms,
  });
}

describe("AttemptPlan.settleAttempt", () => {
  function checkOutcome(
    ends: readonly AttemptEnd[],
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

  it("tries on after refusals, which use up no attempt", () => {
    const ends = [REFUSED, REFUSED, REFUSED, REFUSED];
    checkOutcome(ends, { outcome: "not-run", canRetry: true });
    checkOutcome(ends, { outcome: "not-run", canRetry: true }, false);
  });

  it("repeats a lost attempt only where the request is repeatable", () => {
    checkOutcome([LOST], { outcome: "unknown", canRetry: true });
    checkOutcome([LOST], { outcome: "unknown", canRetry: false }, false);
    checkOutcome([LOST, REFUSED], { outcome: "unknown", canRetry: true });
  });

  it("is handed to no more endpoints than allowed", () => {
    const ends = [LOST, FAILED, LOST];
    checkOutcome(ends, { outcome: "unknown", canRetry: false });
  });

  it("takes a failure as final where the request may not be repeated", () => {
    const plan = createPlan({ isRepeatable: false });
    plan.startAttempt();
    assert.equal(plan.settleAttempt(FAILED), true);
  });

  it("counts failures of endpoints", () => {
    const plan = createPlan();
    plan.startAttempt();
    assert.equal(plan.settleAttempt(FAILED), false);
    plan.startAttempt();
    assert.equal(plan.settleAttempt(SERVED), true);
    assert.equal(plan.failedAnswers, 1);
  });
});

describe("AttemptPlan.outcome", () => {
  it("never calls a request refused that an endpoint may have run", () => {
    const end = fc.constantFrom(FULL, REFUSED, LOST, FAILED);
    fc.assert(
      fc.property(
        fc.array(end, { maxLength: 6 }),
        fc.nat(2),
        (ends, open) => {
          const plan = createPlan();
          ends.forEach((one) => {
            plan.startAttempt();
            plan.settleAttempt(one);
          });
          for (let count = 0; count < open; count++) {
            plan.startAttempt();
          }
          const mayHaveRun = open > 0 ||
            ends.some((one) => one === LOST || one === FAILED);
          assert.equal(plan.outcome, mayHaveRun ? "unknown" : "not-run");
        },
      ),
      { seed: 1 },
    );
  });
});

describe("AttemptPlan.getWait", () => {
  it("asks full endpoints again until half of the time has passed", () => {
    const plan = createPlan();
    let nowMs = 0;
    let asked = 0;
    while (plan.canRetry(nowMs)) {
      plan.startAttempt();
      plan.settleAttempt(FULL);
      asked++;
      nowMs = plan.getWait(nowMs).untilMs;
    }
    assert.equal(nowMs, 1_000);
    assert.equal(asked, 40);
  });

  it("sends a second attempt after the pause for hedges", () => {
    const plan = createPlan();
    plan.startAttempt();
    assert.deepEqual(plan.getWait(5), { untilMs: 80, isDeadline: false });
  });

  it("sends no second attempt of what may run once", () => {
    const plan = createPlan({ isRepeatable: false });
    plan.startAttempt();
    assert.deepEqual(plan.getWait(5), { untilMs: 2_000, isDeadline: true });
  });

  it("tries another endpoint at once after a reset", () => {
    const plan = createPlan();
    plan.startAttempt();
    plan.settleAttempt(LOST);
    assert.equal(plan.getWait(5).untilMs, 6);
  });
});
