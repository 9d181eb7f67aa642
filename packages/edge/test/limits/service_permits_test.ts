import { ManualClock } from "@briarhill/common/time/manual_clock";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LimitReport } from "../../src/limits/permit_message.ts";
import { ServicePermits } from "../../src/limits/service_permits.ts";

const SIGNAL = new AbortController().signal;
const REQUEST = { flow: "live", priority: 1, endpoints: ["e"], maxWaitMs: 0 };

function createReport(options: Partial<LimitReport> = {}): LimitReport {
  return { endpoint: "e", startedAtMs: 1, ratePerS: 1, ageMs: 0, ...options };
}

describe("ServicePermits.applyReport", () => {
  it("applies the most recent statement, whatever the order of the reports", () => {
    const clock = new ManualClock();
    const permits = new ServicePermits(clock);
    clock.advance(1_000);
    assert.equal(permits.applyReport(createReport({ ratePerS: 2 })), true);
    const older = createReport({ ratePerS: 9, ageMs: 500 });
    assert.equal(permits.applyReport(older), false);
    const ended = createReport({ ratePerS: undefined, ageMs: 400 });
    assert.equal(permits.applyReport(ended), false);
    assert.equal(permits.limits.get("e")?.ratePerS, 2);
  });
});

describe("ServicePermits.decideRequest", () => {
  it("grants requests of hosts that do not know yet that the limit has ended", async () => {
    const permits = new ServicePermits(new ManualClock());
    permits.applyReport(createReport());
    permits.applyReport(createReport({ ratePerS: undefined }));
    const reply = await permits.decideRequest(REQUEST, SIGNAL);
    assert.deepEqual(reply, { kind: "granted", endpoint: "e" });
  });

  it("grants half of the rate while the ownership is not confirmed", async () => {
    const clock = new ManualClock();
    const permits = new ServicePermits(clock);
    permits.applyReport(createReport());
    permits.setRateShare(0.5);
    clock.advance(1_500);
    const early = await permits.decideRequest(REQUEST, SIGNAL);
    assert.equal(early?.kind, "rejected");
    clock.advance(500);
    const late = await permits.decideRequest(REQUEST, SIGNAL);
    assert.equal(late?.kind, "granted");
  });

  it("decides a waiting request when its permit is there", async () => {
    const clock = new ManualClock();
    const permits = new ServicePermits(clock);
    permits.applyReport(createReport());
    const reply = permits.decideRequest(
      { ...REQUEST, maxWaitMs: 2_000 },
      SIGNAL,
    );
    assert.equal(permits.waiting, 1);
    clock.advance(1_001);
    assert.equal((await reply)?.kind, "granted");
  });

  it("removes a request whose host has left", () => {
    const permits = new ServicePermits(new ManualClock());
    permits.applyReport(createReport());
    const left = new AbortController();
    void permits.decideRequest({ ...REQUEST, maxWaitMs: 2_000 }, left.signal);
    left.abort();
    assert.equal(permits.waiting, 0);
  });
});

describe("ServicePermits.close", () => {
  it("ends waiting requests without a decision", async () => {
    const permits = new ServicePermits(new ManualClock());
    permits.applyReport(createReport());
    const reply = permits.decideRequest(
      { ...REQUEST, maxWaitMs: 2_000 },
      SIGNAL,
    );
    permits.close();
    assert.equal(await reply, undefined);
  });
});
