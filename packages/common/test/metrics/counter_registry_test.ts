import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CounterRegistry } from "../../src/metrics/counter_registry.ts";

describe("CounterRegistry", () => {
  it("counts events per label and formats all counters", () => {
    const counters = new CounterRegistry();
    counters.addOne("calls_total", "answered");
    counters.addOne("calls_total", "answered");
    counters.addOne("calls_total", "refused");
    assert.equal(counters.getCount("calls_total", "answered"), 2);
    assert.equal(counters.getCount("calls_total", "other"), 0);
    assert.equal(
      counters.formatCounters(),
      "# TYPE briarhill_calls_total counter\n" +
        'briarhill_calls_total{kind="answered"} 2\n' +
        'briarhill_calls_total{kind="refused"} 1\n',
    );
  });
});
