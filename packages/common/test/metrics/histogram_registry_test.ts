import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HistogramRegistry } from "../../src/metrics/histogram_registry.ts";

describe("HistogramRegistry", () => {
  it("records a separate histogram for each metric, customer and class", () => {
    const registry = new HistogramRegistry();
    const key = { metric: "call_ms", requestClass: "live" as const };
    for (let value = 1; value <= 100; value++) {
      registry.addValue({ ...key, customer: "agencia" }, value);
    }
    registry.addValue({ ...key, customer: "maison" }, 5);
    const [agencia, maison] = registry.getSummaries();
    assert.equal(agencia?.count, 100);
    assert.equal(agencia?.p50, 50);
    assert.equal(maison?.customer, "maison");
    assert.equal(maison?.max, 5);
  });
});
