import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeReportIntervalMs } from "../../src/limits/report_interval.ts";

describe("computeReportIntervalMs", () => {
  function checkInterval(ratePerS: number | undefined, expected: number): void {
    assert.equal(computeReportIntervalMs(ratePerS), expected);
  }

  it("leaves half of a limit to other requests, within bounds", () => {
    checkInterval(undefined, 150);
    checkInterval(1_000, 150);
    checkInterval(4, 500);
    checkInterval(0, 2_000);
  });
});
