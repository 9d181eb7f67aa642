/**
 * Builds the report of a deployment run: the figures that its contracts favour,
 * and whether the guarantees of the service held.
 * @module
 */
import { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";
import type { TrainingStructure } from "@briarhill/contract/contract/contract_structure";
import { isStepSound } from "../trainer/step_check.ts";
import type { DeploymentRun } from "./deployment.ts";

/** The figures of one run. */
export interface DeploymentReport {
  readonly liveCalls: number;
  readonly liveRefused: number;
  /** Responses that broke off or contained tokens of another request. */
  readonly liveFaulty: number;
  readonly liveP50Ms: number;
  readonly liveP99Ms: number;
  readonly serviceCalls: number;
  readonly serviceRefused: number;
  /** Calls that were executed more than once. */
  readonly serviceDuplicates: number;
  /** Calls with a success response that were never executed. */
  readonly serviceLost: number;
  readonly steps: number;
  readonly unsoundSteps: number;
  readonly stepP50Ms: number;
  readonly stepP99Ms: number;
  /** The share of the run in which the trainers waited for samples. */
  readonly idleShare: number;
  readonly idleP50Ms: number;
  readonly idleP99Ms: number;
  /** The number of versions by which samples were behind on receipt. */
  readonly versionsBehindP50: number;
  readonly versionsBehindP99: number;
  readonly maxVersionsBehind: number;
  /** The time since newer weights were announced, on receipt of a sample. */
  readonly outdatedP50Ms: number;
  readonly outdatedP99Ms: number;
}

const FAVOURED_FIGURES: Readonly<
  Record<TrainingStructure["favours"], readonly (keyof DeploymentReport)[]>
> = {
  "idle-time": ["idleShare", "idleP50Ms", "idleP99Ms"],
  "staleness": [
    "versionsBehindP50",
    "versionsBehindP99",
    "outdatedP50Ms",
    "outdatedP99Ms",
  ],
};

/**
 * Computes the figures of a run.
 *
 * @example
 * ```ts
 * const report = buildReport(await deployment.run());
 * ```
 * @param run - The records of the run.
 */
export function buildReport(run: DeploymentRun): DeploymentReport {
  const live = run.customers.flatMap((customer) => customer.live);
  const succeeded = live.filter(({ status }) => status === 200);
  const services = run.customers.flatMap((customer) => customer.services);
  const executed = new Set(run.executions);
  const successes = services.filter(({ status }) => status < 300);
  const liveMs = computePercentiles(succeeded.map((call) => call.durationMs));
  const stepMs = computePercentiles(
    run.steps.map(({ record }) => record.stepMs),
  );
  return {
    liveCalls: live.length,
    liveRefused: live.length - succeeded.length,
    liveFaulty: live.filter(({ fault }) => fault !== undefined).length,
    liveP50Ms: liveMs.p50,
    liveP99Ms: liveMs.p99,
    serviceCalls: services.length,
    serviceRefused: services.length - successes.length,
    serviceDuplicates: run.executions.length - executed.size,
    serviceLost: successes.filter(({ key }) => !executed.has(key)).length,
    steps: run.steps.length,
    unsoundSteps:
      run.steps.filter(({ verdict }) => !isStepSound(verdict)).length,
    stepP50Ms: stepMs.p50,
    stepP99Ms: stepMs.p99,
    ...measureIdleTime(run),
    ...measureStaleness(run),
  };
}

type IdleTime = Pick<
  DeploymentReport,
  "idleShare" | "idleP50Ms" | "idleP99Ms"
>;

type Staleness = Pick<
  DeploymentReport,
  | "versionsBehindP50"
  | "versionsBehindP99"
  | "maxVersionsBehind"
  | "outdatedP50Ms"
  | "outdatedP99Ms"
>;

function measureIdleTime({ steps, runMs }: DeploymentRun): IdleTime {
  const idleMs = steps.map(({ record }) => record.idleMs);
  const trainers = new Set(steps.map(({ model }) => model)).size;
  const total = idleMs.reduce((sum, value) => sum + value, 0);
  const { p50, p99 } = computePercentiles(idleMs);
  return {
    idleShare: total / Math.max(1, runMs * trainers),
    idleP50Ms: p50,
    idleP99Ms: p99,
  };
}

function measureStaleness({ steps, staleness }: DeploymentRun): Staleness {
  const behind = computePercentiles(staleness.map((it) => it.versionsBehind));
  const outdated = computePercentiles(staleness.map((it) => it.outdatedMs));
  return {
    versionsBehindP50: behind.p50,
    versionsBehindP99: behind.p99,
    maxVersionsBehind: Math.max(
      0,
      ...steps.map(({ verdict }) => verdict.maxVersionsBehind),
    ),
    outdatedP50Ms: outdated.p50,
    outdatedP99Ms: outdated.p99,
  };
}

/**
 * Returns whether all guarantees held and some live calls, service calls and
 * steps succeeded.
 *
 * @example
 * ```ts
 * process.exitCode = isDeploymentSound(report) ? 0 : 1;
 * ```
 * @param report - The figures of the run.
 */
export function isDeploymentSound(report: DeploymentReport): boolean {
  return report.liveCalls > report.liveRefused && report.liveFaulty === 0 &&
    report.serviceCalls > report.serviceRefused &&
    report.serviceDuplicates === 0 && report.serviceLost === 0 &&
    report.steps > 0 && report.unsoundSteps === 0;
}

/**
 * Formats a report as text, with the figures that the contracts favour first.
 *
 * @example
 * ```ts
 * process.stdout.write(formatReport(report, ["staleness"]));
 * ```
 * @param report - The figures of the run.
 * @param favours - The figures that the trainers' contracts favour.
 */
export function formatReport(
  report: DeploymentReport,
  favours: readonly TrainingStructure["favours"][],
): string {
  const names = Object.keys(report) as (keyof DeploymentReport)[];
  const lines = [...new Set(favours)].flatMap((favoured) => [
    `figures of ${favoured}, which the contracts favour:`,
    ...FAVOURED_FIGURES[favoured].map((name) =>
      formatFigure(name, report[name])
    ),
  ]);
  const all = names.map((name) => formatFigure(name, report[name]));
  return [...lines, "all figures:", ...all, ""].join("\n");
}

function formatFigure(name: string, value: number): string {
  const text = Number.isInteger(value) ? String(value) : value.toFixed(3);
  return `${name.padEnd(20)} ${text.padStart(10)}`;
}

function computePercentiles(
  values: readonly number[],
): { readonly p50: number; readonly p99: number } {
  const registry = new HistogramRegistry();
  const key = { metric: "ms", customer: "all", requestClass: "live" as const };
  values.forEach((value) => registry.addValue(key, value));
  const [summary] = registry.getSummaries();
  return { p50: summary?.p50 ?? 0, p99: summary?.p99 ?? 0 };
}
