import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostMetrics } from "../../src/observe/host_metrics.ts";

describe("HostMetrics.formatAll", () => {
  it("formats counters and latency summaries", () => {
    const metrics = new HostMetrics();
    metrics.addCall("r", "answered", 12);
    metrics.addLotSubmission("l", "appended", 20);
    metrics.addAttempt("m", "finished", 900);
    metrics.addOrder("accepted");
    const text = metrics.formatAll();
    for (
      const line of [
        'briarhill_calls_total{kind="answered"} 1',
        'briarhill_call_whole_ms_count{customer="r",class="service"} 1',
        'briarhill_lots_total{kind="appended"} 1',
        'briarhill_sample_runs_total{kind="finished"} 1',
        'briarhill_orders_total{kind="accepted"} 1',
      ]
    ) {
      assert.ok(text.includes(line), `${line}\n${text}`);
    }
  });
});
