import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { CrashHistory } from "../../src/crashes/crash_history.ts";
import { createEndpoint } from "./fixtures.ts";
import type { EndpointStructure } from "../../src/endpoints/endpoint.ts";

const STEP_MS = 5;
const RUN_MS = 25;
const RESTART_MS = 3_000;
/** The time after which all hosts know of an ending, in milliseconds. */
const SHARE_DELAY_MS = 20;
/** Callers retry a lost or rejected request once. */
const RETRY_MS = 300;

/** Options of {@link runCrashSimulation}. */
export interface CrashSimulationOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly endpoints: number;
  readonly requestsPerS: number;
  /** The number of different contents of harmless requests; few are sent often. */
  readonly contents: number;
  /** The mean time between endings that no request caused, in milliseconds. */
  readonly crashIntervalMs: number;
  /** The share of endpoints that such an ending takes at once. */
  readonly crashShare: number;
  /** The interval at which each crashing request comes again, in milliseconds; 0 for no such request. */
  readonly returnIntervalMs: number;
  readonly crashingRequests: number;
}

/** What a simulation found. */
export interface CrashSimulationReport {
  readonly harmless: number;
  /** The number of harmless requests that were rejected because their content was blocked. */
  readonly wrongVerdicts: number;
  /** The number of harmless requests that had to wait for a trial. */
  readonly delayed: number;
  /** The largest number of endings by one crashing request. */
  readonly maxCrashes: number;
}

interface SimulatedRun {
  readonly digest: string;
  readonly endpoint: number;
  readonly incarnation: number;
  readonly isTrial: boolean;
  readonly isRetry: boolean;
  readonly endsAtMs: number;
}

/** Runs requests of all hosts at the endpoints of one service in virtual time. */
export function runCrashSimulation(
  options: CrashSimulationOptions,
): CrashSimulationReport {
  const random = new SeededRandom(options.seed);
  const history = new CrashHistory();
  const startedAtMs = Array.from({ length: options.endpoints }, () => 0);
  const pending: { readonly atMs: number; readonly apply: () => void }[] = [];
  const crashes = new Map<string, number>();
  const report = { harmless: 0, wrongVerdicts: 0, delayed: 0, maxCrashes: 0 };
  let runs: SimulatedRun[] = [];
  let nowMs = 0;

  const schedule = (delayMs: number, apply: () => void) =>
    pending.push({ atMs: nowMs + delayMs, apply });
  const isCrashing = (digest: string) => digest.startsWith("crashing");
  const listAlive = (): readonly EndpointStructure[] =>
    startedAtMs.flatMap((startMs, index) =>
      startMs <= nowMs
        ? [{ ...createEndpoint(`e${index}`), startedAtMs: startMs }]
        : []
    );

  function endEndpoint(index: number): void {
    const ended = runs.filter(({ endpoint }) => endpoint === index);
    runs = runs.filter(({ endpoint }) => endpoint !== index);
    startedAtMs[index] = nowMs + RESTART_MS;
    for (const run of ended) {
      const foundAtMs = nowMs;
      schedule(SHARE_DELAY_MS, () =>
        history.addRecord({
          digest: run.digest,
          endpoint: `e${index}`,
          startedAtMs: run.incarnation,
          service: "s",
          softwareVersion: "v1",
          isTrial: run.isTrial,
          foundAtMs,
        }));
      if (!run.isRetry) {
        schedule(SHARE_DELAY_MS + 1, () => startRun(run.digest, true));
      }
    }
  }

  function startRun(digest: string, isRetry: boolean): void {
    const alive = listAlive();
    const standing = history.getStanding(digest, nowMs);
    const decision = history.decideRun(digest, { candidates: alive, nowMs });
    if (!isCrashing(digest) && standing !== "clear") {
      report.wrongVerdicts += standing === "blocked" ? 1 : 0;
      report.delayed++;
    }
    const target = decision.kind === "trial"
      ? decision.endpoint
      : decision.kind === "unrestricted"
      ? random.getItem(alive)
      : undefined;
    if (target === undefined) {
      if (!isRetry) {
        schedule(RETRY_MS, () => startRun(digest, true));
      }
      return;
    }
    runs.push({
      digest,
      endpoint: Number(target.id.slice(1)),
      incarnation: target.startedAtMs,
      isTrial: standing !== "clear",
      isRetry,
      endsAtMs: nowMs + (isCrashing(digest) ? 1 : RUN_MS),
    });
  }

  function finishRuns(): void {
    for (const run of runs.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
      if (!runs.includes(run)) {
        continue;
      }
      if (isCrashing(run.digest)) {
        crashes.set(run.digest, (crashes.get(run.digest) ?? 0) + 1);
        endEndpoint(run.endpoint);
        continue;
      }
      runs = runs.filter((other) => other !== run);
      if (run.isTrial) {
        history.listRecords(run.digest).forEach((record) =>
          history.removeRecord(
            `${record.digest}|${record.endpoint}|${record.startedAtMs}`,
          )
        );
      }
    }
  }

  function startArrivals(): void {
    if (random.getFloat() < options.requestsPerS * STEP_MS / 1_000) {
      report.harmless++;
      startRun(`harmless-${random.getInteger(options.contents)}`, false);
    }
    if (random.getFloat() < STEP_MS / options.crashIntervalMs) {
      startedAtMs.forEach((_, index) => {
        if (random.getFloat() < options.crashShare) {
          endEndpoint(index);
        }
      });
    }
    const { returnIntervalMs } = options;
    if (returnIntervalMs > 0 && nowMs % returnIntervalMs === 0) {
      for (let index = 0; index < options.crashingRequests; index++) {
        startRun(`crashing-${index}`, false);
      }
    }
  }

  for (; nowMs < options.durationMs; nowMs += STEP_MS) {
    const due = pending.filter(({ atMs }) => atMs <= nowMs);
    due.forEach((item) => pending.splice(pending.indexOf(item), 1));
    due.forEach(({ apply }) => apply());
    finishRuns();
    startArrivals();
  }
  return { ...report, maxCrashes: Math.max(0, ...crashes.values()) };
}
