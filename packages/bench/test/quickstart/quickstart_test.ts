import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LiveCaller } from "../../src/caller/live_caller.ts";
import { Quickstart } from "../../src/quickstart/quickstart.ts";
import {
  formatReport,
  isReportSound,
} from "../../src/quickstart/report_format.ts";

describe("Quickstart.run", () => {
  it("serves a live call, executes a service call once and delivers a step", async () => {
    const report = await new Quickstart((key) => new LiveCaller(key)).run();
    assert.ok(isReportSound(report), formatReport(report));
    const versions = report.step.samples.flatMap((sample) =>
      sample.spans.map((span) => span.version)
    );
    assert.deepEqual([...new Set(versions)].sort(), [1, 2]);
  });
});
