import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Deployment } from "../../src/deployments/deployment.ts";
import { readDeployment } from "../../src/deployments/deployment_files.ts";
import { QUICK_OPTIONS } from "../../src/deployments/deployment_options.ts";
import {
  buildReport,
  formatReport,
  isDeploymentSound,
} from "../../src/deployments/deployment_report.ts";

const TIMEOUT_MS = 120_000;

describe("Deployment", () => {
  testDeployment(
    "agencia",
    "idle-time",
    /idle-time, which the contracts favour:\nidleShare/,
  );
  testDeployment(
    "maison",
    "staleness",
    /staleness, which the contracts favour:\nversionsBehind/,
  );
});

function testDeployment(
  name: string,
  favoured: "idle-time" | "staleness",
  headline: RegExp,
): void {
  it(`runs ${name} without a fault and reports its favoured figures first`, {
    timeout: TIMEOUT_MS,
  }, async () => {
    const files = readDeployment(name);
    const models = files.contracts.flatMap((it) => it.training?.models ?? []);
    const run = await new Deployment(files, QUICK_OPTIONS).run();
    const report = buildReport(run);
    const text = formatReport(report, run.favours);
    assert(isDeploymentSound(report), text);
    assert.deepEqual([...new Set(run.favours)], [favoured]);
    assert.deepEqual(
      [...new Set(run.steps.map(({ model }) => model))].sort(),
      [...models].sort(),
    );
    assert.match(text, headline);
    const samples = run.steps.flatMap(({ record }) => record.samples);
    assert.equal(run.staleness.length, samples.length);
    for (const { record } of run.steps) {
      assert(record.idleMs <= record.stepMs, text);
    }
  });
}
