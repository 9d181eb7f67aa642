import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  CRASH_RETENTION_MS,
  type CrashDecision,
  CrashHistory,
  FIRST_BLOCK_MS,
} from "../../src/crashes/crash_history.ts";
import {
  type CrashRecord,
  formatCrashKey,
} from "../../src/crashes/crash_record.ts";
import {
  type CrashSimulationOptions,
  runCrashSimulation,
} from "./crash_simulation.ts";
import { createEndpoint, createRecord } from "./fixtures.ts";
import type { EndpointStructure } from "../../src/endpoints/endpoint.ts";

function createHistory(records: readonly Partial<CrashRecord>[]): CrashHistory {
  const history = new CrashHistory();
  records.forEach((fields) => history.addRecord(createRecord(fields)));
  return history;
}

const FIRST = { endpoint: "e0" };
const TRIAL = { endpoint: "e1", isTrial: true };

describe("CrashHistory.getStanding", () => {
  function testStanding(
    title: string,
    records: readonly Partial<CrashRecord>[],
    expected: string,
    nowMs = 1,
  ): void {
    it(title, () => {
      assert.equal(createHistory(records).getStanding("d", nowMs), expected);
    });
  }

  testStanding("is clear without endings", [{ digest: "other" }], "clear");
  testStanding("is suspect after a first ending", [FIRST], "suspect");
  testStanding(
    "is suspect after a whole service ended under it at once",
    ["e0", "e1", "e2", "e3"].map((endpoint) => ({ endpoint })),
    "suspect",
  );
  testStanding("is blocked after a lone trial", [FIRST, TRIAL], "blocked");
  testStanding(
    "is suspect if another suspect ran beside its trial",
    [FIRST, TRIAL, { ...TRIAL, digest: "other" }],
    "suspect",
  );
  testStanding(
    "is blocked after two trials, whatever ran beside it",
    [
      FIRST,
      TRIAL,
      { ...TRIAL, digest: "other" },
      { ...TRIAL, endpoint: "e2" },
      { ...TRIAL, endpoint: "e2", digest: "other" },
    ],
    "blocked",
  );
  testStanding(
    "is clear if another request is blocked for the only ending",
    [
      { endpoint: "e1" },
      { digest: "other" },
      { digest: "other", endpoint: "e1", isTrial: true },
    ],
    "clear",
  );
  testStanding(
    "is suspect once the block ends",
    [FIRST, TRIAL],
    "suspect",
    FIRST_BLOCK_MS,
  );
  testStanding(
    "is blocked for longer after another trial",
    [FIRST, TRIAL, { ...TRIAL, endpoint: "e2", foundAtMs: FIRST_BLOCK_MS }],
    "blocked",
    4 * FIRST_BLOCK_MS,
  );
  testStanding(
    "is clear once the endings have expired",
    [FIRST, TRIAL],
    "clear",
    CRASH_RETENTION_MS,
  );
});

describe("CrashHistory.decideRun", () => {
  const endpoints = ["e0", "e1", "e2", "e3"].map((id) => createEndpoint(id));

  function decideRun(
    records: readonly Partial<CrashRecord>[],
    candidates: readonly EndpointStructure[],
  ): CrashDecision {
    return createHistory(records).decideRun("d", { candidates, nowMs: 1 });
  }

  it("selects the same living endpoint for a suspect at each host", () => {
    const first = decideRun([FIRST], endpoints);
    const second = decideRun([FIRST], endpoints.toReversed());
    assert.deepEqual(first, second);
    assert.ok(first.kind === "trial" && first.endpoint.id !== "e0");
  });

  it("spreads suspects over the endpoints", () => {
    const history = new CrashHistory();
    const used = new Set<string>();
    for (let index = 0; index < 40; index++) {
      const digest = `d${index}`;
      history.addRecord(createRecord({ digest }));
      const decision = history.decideRun(digest, {
        candidates: endpoints,
        nowMs: 1,
      });
      used.add(decision.kind === "trial" ? decision.endpoint.id : "");
    }
    assert.deepEqual([...used].sort(), ["e1", "e2", "e3"]);
  });

  it("rejects a suspect rather than risk the last living endpoint", () => {
    const decision = decideRun([FIRST], endpoints.slice(0, 2));
    assert.equal(decision.kind, "rejected");
  });

  it("runs a suspect at the only endpoint of a service", () => {
    const [, only] = endpoints;
    assert.ok(only !== undefined);
    assert.equal(decideRun([FIRST], [only]).kind, "trial");
  });

  it("rejects a blocked request until its block ends", () => {
    assert.deepEqual(decideRun([FIRST, TRIAL], endpoints), {
      kind: "rejected",
      retryAfterMs: FIRST_BLOCK_MS - 1,
    });
  });

  it("tries a blocked request at another software version", () => {
    const candidates = [
      ...endpoints,
      createEndpoint("n0", "v2"),
      createEndpoint("n1", "v2"),
    ];
    const decision = decideRun([FIRST, TRIAL], candidates);
    assert.ok(decision.kind === "trial");
    assert.equal(decision.endpoint.softwareVersion, "v2");
  });
});

describe("CrashHistory.addRecord", () => {
  it("forgets the oldest requests when a caller varies its body", () => {
    const history = new CrashHistory();
    for (let index = 0; index < 10_000; index++) {
      history.addRecord(createRecord({ digest: `d${index}`, isTrial: true }));
    }
    assert.equal(history.size, 4_096);
    assert.equal(history.getStanding("d0", 1), "clear");
    history.removeRecord(formatCrashKey(createRecord({ digest: "d9999" })));
    assert.equal(history.size, 4_095);
  });
});

const SEEDS = 10;
/** The share of proper requests that a host may deny (a bound of the platform). */
const MAX_WRONG = 1 / 500;
const DEFAULTS: CrashSimulationOptions = {
  seed: 1,
  durationMs: 60_000,
  endpoints: 4,
  requestsPerS: 100,
  contents: 1_000,
  crashIntervalMs: 2_000,
  crashShare: 0.3,
  returnIntervalMs: 0,
  crashingRequests: 0,
};

/** Harmless requests run beside crashing ones, and endpoints end for other reasons. */
describe("CrashHistory under load", () => {
  function testSeeds(
    title: string,
    options: Partial<CrashSimulationOptions>,
    { maxWrong, maxCrashes }: {
      /** The largest share of harmless requests that may be rejected as blocked. */
      readonly maxWrong: number;
      readonly maxCrashes: number;
    },
  ): void {
    it(title, () => {
      const reports = Array.from(
        { length: SEEDS },
        (_, seed) => runCrashSimulation({ ...DEFAULTS, ...options, seed }),
      );
      const sum = (field: "harmless" | "wrongVerdicts" | "delayed") =>
        reports.reduce((total, report) => total + report[field], 0);
      const crashes = Math.max(...reports.map((report) => report.maxCrashes));
      const figures = `${sum("wrongVerdicts")} wrong, ${sum("delayed")} ` +
        `delayed of ${sum("harmless")}, ${crashes} crashes`;
      assert.ok(
        sum("wrongVerdicts") <= maxWrong * sum("harmless"),
        figures,
      );
      assert.ok(crashes <= maxCrashes, figures);
    });
  }

  testSeeds("blocks no harmless request when endpoints end one by one", {}, {
    maxWrong: MAX_WRONG,
    maxCrashes: 0,
  });
  testSeeds(
    "blocks no harmless request when whole services end at once",
    { crashShare: 1, crashIntervalMs: 5_000 },
    { maxWrong: MAX_WRONG, maxCrashes: 0 },
  );
  testSeeds(
    "blocks no popular request when endpoints end one by one",
    { contents: 5 },
    { maxWrong: MAX_WRONG, maxCrashes: 0 },
  );
  testSeeds(
    "lets one crashing request end three endpoints at most",
    { returnIntervalMs: 500, crashingRequests: 1, crashIntervalMs: 1e9 },
    { maxWrong: MAX_WRONG, maxCrashes: 3 },
  );
  testSeeds(
    "lets five crashing requests end three endpoints each at most",
    { returnIntervalMs: 500, crashingRequests: 5, endpoints: 12 },
    { maxWrong: MAX_WRONG, maxCrashes: 3 },
  );
});
