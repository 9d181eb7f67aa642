/**
 * Renders plots of a bench's rows as SVG with vega-lite.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { BenchRow } from "../bench/bench_row.ts";

const WIDTH_PX = 480;
const HEIGHT_PX = 300;

/** Options of a plot over the columns of a bench's rows. */
export interface PlotStructure {
  /** The name of the file without its extension. */
  readonly name: string;
  readonly title: string;
  readonly kind: "line" | "bar" | "point";
  readonly x: PlotAxis;
  readonly y: PlotAxis;
  /** The column whose values identify the series. */
  readonly series: string;
}

/** One axis of a plot. */
export interface PlotAxis {
  readonly column: string;
  /** The label, including the unit. */
  readonly title: string;
  readonly scale: "linear" | "log" | "category";
}

/**
 * Renders rows as SVG text; the same rows always give the same text.
 *
 * @example
 * ```ts
 * import { writeFileSync } from "node:fs";
 *
 * writeFileSync("steps.svg", await renderPlot(plot, result.rows));
 * ```
 * @param plot - The plot options.
 * @param rows - The rows of the bench.
 */
export function renderPlot(
  plot: PlotStructure,
  rows: readonly BenchRow[],
): Promise<string> {
  for (const column of [plot.x.column, plot.y.column, plot.series]) {
    if (!rows.some((row) => row[column] !== undefined)) {
      throw new InputError(`plot "${plot.name}": no row has "${column}"`);
    }
  }
  const { spec } = compile(buildSpec(plot, rows));
  return new View(parse(spec), { renderer: "none" }).toSVG();
}

function buildSpec(
  plot: PlotStructure,
  rows: readonly BenchRow[],
): TopLevelSpec {
  const mark = plot.kind === "line"
    ? { type: "line" as const, point: true }
    : { type: plot.kind, tooltip: false };
  return {
    title: plot.title,
    width: WIDTH_PX,
    height: HEIGHT_PX,
    background: "white",
    data: {
      values: rows
        .filter((row) => row[plot.y.column] !== undefined)
        .map((row) => ({ ...row })),
    },
    mark,
    encoding: {
      x: buildAxis(plot.x),
      y: buildAxis(plot.y),
      color: { field: plot.series, type: "nominal" },
      ...(plot.kind === "bar" ? { xOffset: { field: plot.series } } : {}),
    },
  };
}

function buildAxis(axis: PlotAxis) {
  const { column: field, title } = axis;
  if (axis.scale === "category") {
    return { field, title, type: "nominal" as const, sort: null };
  }
  const scale = { type: axis.scale, zero: axis.scale === "linear" };
  return { field, title, type: "quantitative" as const, scale };
}
