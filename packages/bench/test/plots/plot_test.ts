import { InputError } from "@briarhill/common/errors/errors";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type PlotStructure, renderPlot } from "../../src/plots/plot.ts";

function createPlot(edit: Partial<PlotStructure> = {}): PlotStructure {
  return {
    name: "cost",
    title: "Cost against size",
    kind: "line",
    x: { column: "nodes", title: "nodes", scale: "log" },
    y: { column: "bytes", title: "bytes/s", scale: "linear" },
    series: "policy",
    ...edit,
  };
}

const ROWS = [
  { nodes: 4, bytes: 100, policy: "a" },
  { nodes: 16, bytes: 120, policy: "a" },
  { nodes: 4, bytes: 90, policy: "b" },
];

describe("renderPlot", () => {
  it("renders the same SVG for the same rows, with the title", async () => {
    for (const kind of ["line", "bar", "point"] as const) {
      const svg = await renderPlot(createPlot({ kind }), ROWS);
      assert.match(svg, /^<svg/);
      assert.match(svg, /Cost against size/);
      assert.equal(await renderPlot(createPlot({ kind }), ROWS), svg);
    }
  });

  it("rejects a column that no row has", () => {
    const plot = createPlot({ series: "missing" });
    assert.throws(() => renderPlot(plot, ROWS), InputError);
  });
});
