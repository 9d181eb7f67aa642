/**
 * Defines the plots of the rollout bench.
 * @module
 */
import type { PlotStructure } from "../plots/plot.ts";

/** The plots of the rollout bench. */
export const ROLLOUT_PLOTS: readonly PlotStructure[] = [
  {
    name: "step_time",
    title: "Step time over its lower bound",
    kind: "bar",
    x: { column: "mix", title: "deployment", scale: "category" },
    y: { column: "stepRatio", title: "step time / bound", scale: "linear" },
    series: "policies",
  },
  {
    name: "idle_and_staleness",
    title: "Trainer idle time against staleness at delivery",
    kind: "point",
    x: { column: "idleS", title: "idle, s a step", scale: "linear" },
    y: { column: "ageP99S", title: "age at p99, s", scale: "linear" },
    series: "policies",
  },
];
