import { Logger } from "@briarhill/common/logging/logger";
import { ManualClock } from "@briarhill/common/time/manual_clock";
import type { StatedLimit } from "@briarhill/routing/limits/request_limit";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ObservedLimits } from "../../src/limits/observed_limits.ts";
import type { LimitReport } from "../../src/limits/permit_message.ts";
import { HostMetrics } from "../../src/observe/host_metrics.ts";
import { createEndpoint } from "../calls/sender_fixture.ts";

const NONE: StatedLimit = { kind: "none" };
const ENDPOINT = createEndpoint(1);

function createLimits() {
  const clock = new ManualClock();
  const reports: LimitReport[] = [];
  const metrics = new HostMetrics();
  const limits = new ObservedLimits({
    clock,
    logger: Logger.create({}),
    metrics,
    onChange: (_endpoint, report) => reports.push(report),
  });
  const applyResponse = (stated: StatedLimit) => {
    clock.advance(10);
    const sentAtMs = clock.getMonotonicMs();
    limits.applyResponse(ENDPOINT, stated, { sentAtMs, purpose: "call" });
  };
  return { clock, limits, metrics, reports, applyResponse };
}

describe("ObservedLimits.applyResponse", () => {
  it("reports a limit when it is set, changes or ends, and not when it is confirmed", () => {
    const { reports, applyResponse } = createLimits();
    const rates: readonly number[] = [2, 2, 3];
    rates.forEach((ratePerS) => applyResponse({ kind: "rate", ratePerS }));
    applyResponse(NONE);
    applyResponse(NONE);
    assert.deepEqual(reports.map(({ ratePerS }) => ratePerS), [
      2,
      3,
      undefined,
    ]);
  });
});

describe("ObservedLimits.addSharedLimit", () => {
  it("applies a limit before this host has had a response", () => {
    const { limits, reports } = createLimits();
    limits.addSharedLimit(ENDPOINT, 4);
    assert.equal(limits.getLimit(ENDPOINT)?.ratePerS, 4);
    assert.deepEqual(reports, []);
  });
});

describe("ObservedLimits.removeSharedLimit", () => {
  it("keeps a limit that a response to this host has just stated", () => {
    const { clock, limits, applyResponse } = createLimits();
    applyResponse({ kind: "rate", ratePerS: 2 });
    limits.removeSharedLimit(ENDPOINT.id);
    assert.equal(limits.getLimit(ENDPOINT)?.ratePerS, 2);
    clock.advance(1_000);
    limits.removeSharedLimit(ENDPOINT.id);
    assert.equal(limits.getLimit(ENDPOINT), undefined);
  });
});

describe("ObservedLimits.addRequest", () => {
  it("counts requests to endpoints with a limit by what they are for", () => {
    const { limits, metrics, applyResponse } = createLimits();
    limits.addRequest(ENDPOINT, "call");
    applyResponse({ kind: "rate", ratePerS: 2 });
    limits.addRequest(ENDPOINT, "scoring");
    const text = metrics.formatAll();
    assert.match(text, /limited_requests_total\{kind="scoring"\} 1/);
    assert.doesNotMatch(text, /kind="call"/);
  });
});
