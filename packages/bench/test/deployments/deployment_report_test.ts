import { ManualClock } from "@briarhill/common/time/manual_clock";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createContractStructure } from "../../src/capacity/contract_fixture.ts";
import type { DeploymentRun } from "../../src/deployments/deployment.ts";
import {
  buildReport,
  isDeploymentSound,
} from "../../src/deployments/deployment_report.ts";
import {
  CustomerLoad,
  type LiveRecord,
} from "../../src/deployments/customer_load.ts";
import { checkStep } from "../../src/trainer/step_check.ts";

const LIVE: LiveRecord = { status: 200, durationMs: 5, fault: undefined };
const SAMPLE = {
  position: 0,
  sampleId: "a",
  groupId: "g",
  text: "t",
  spans: [{ fromToken: 0, toToken: 1, version: 1 }],
  newestVersion: 1,
};

interface RunOptions {
  readonly live?: readonly LiveRecord[];
  readonly executions?: readonly string[];
  readonly samples?: readonly (typeof SAMPLE)[];
}

describe("buildReport", () => {
  it("computes idle time and staleness from the trainers' records", () => {
    const report = buildReport(createRun({}));
    assert.equal(report.idleShare, 0.25);
    assert.equal(report.idleP50Ms, 25);
    assert.equal(report.versionsBehindP50, 1);
    assert.equal(report.outdatedP99Ms, 40);
  });
});

describe("isDeploymentSound", () => {
  testSound("a run without a fault", {}, true);
  testSound("a response that broke off", {
    live: [LIVE, createBrokenOffCall()],
  }, false);
  testSound("a run without a live response", { live: [] }, false);
  testSound("a lost service call", { executions: [] }, false);
  testSound("a duplicated service call", { executions: ["k", "k"] }, false);
  testSound("a lost sample", { samples: [] }, false);
  testSound("a duplicated sample", { samples: [SAMPLE, SAMPLE] }, false);
});

function testSound(name: string, options: RunOptions, expected: boolean): void {
  it(`${expected ? "accepts" : "rejects"} ${name}`, () => {
    assert.equal(isDeploymentSound(buildReport(createRun(options))), expected);
  });
}

function createBrokenOffCall(): LiveRecord {
  return { ...LIVE, fault: "broken-off" };
}

function createRun(
  { live = [LIVE], executions = ["k"], samples = [SAMPLE] }: RunOptions,
): DeploymentRun {
  const customer = new CustomerLoad({
    contract: createContractStructure(1, 1),
    addresses: [],
    clock: new ManualClock(),
    random: new SeededRandom(1),
    pauseMs: 1,
    getVersions: () => [1],
  });
  customer.live.push(...live);
  customer.services.push({ service: "register", key: "k", status: 200 });
  const verdict = checkStep(samples, { size: 1, maxVersionsBehind: 0 });
  const record = { samples, stepMs: 50, idleMs: 25 };
  return {
    favours: ["staleness"],
    customers: [customer],
    steps: [{ model: "names-es", record, verdict }],
    staleness: [{ versionsBehind: 1, outdatedMs: 40 }],
    executions,
    runMs: 100,
  };
}
