import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeRunAheadLots } from "../../src/staleness/run_ahead.ts";
import { StalenessRule } from "../../src/staleness/staleness_rule.ts";
import { VersionHistory } from "../../src/staleness/version_history.ts";
import { createTraining } from "../fixtures/lots.ts";

const HISTORY = new VersionHistory([
  { version: 30, announcedAtMs: 3000 },
  { version: 10, announcedAtMs: 1000 },
  { version: 20, announcedAtMs: 2000 },
]);

describe("StalenessRule", () => {
  const rule = new StalenessRule({ maxVersionsBehind: 1, maxAgeMs: 500 });
  const rows: readonly [string, number[], number, number, number, boolean][] = [
    ["of the newest version", [30], 9000, 0, 0, true],
    ["of a version newer than all announced", [31], 9000, 0, 0, true],
    ["one version behind, at the maximum age", [20], 3500, 1, 500, true],
    [
      "one version behind, 1 ms over the maximum age",
      [20],
      3501,
      1,
      501,
      false,
    ],
    ["two versions behind", [10], 3000, 2, 1000, false],
    [
      "of several versions by its oldest span",
      [30, 10, 30],
      3000,
      2,
      1000,
      false,
    ],
    [
      "of an unannounced version between two announced ones",
      [15],
      3000,
      2,
      1000,
      false,
    ],
    ["one version behind, by a clock behind the log's", [20], 2500, 1, 0, true],
  ];
  for (const [name, versions, wallMs, behind, ageMs, fresh] of rows) {
    it(`measures a sample ${name}`, () => {
      const spans = versions.map((version, index) => ({
        fromToken: index,
        toToken: index + 1,
        version,
      }));
      const context = { history: HISTORY, wallMs };
      assert.deepEqual(rule.measureStaleness(spans, context), {
        versionsBehind: behind,
        ageMs,
      });
      assert.equal(rule.isWithinBound(spans, context), fresh);
    });
  }
});

describe("computeRunAheadLots", () => {
  const rows: readonly ["idle-time" | "staleness", number, number, number][] = [
    ["idle-time", 4, 4, 3],
    ["idle-time", 2, 8, 2],
    ["staleness", 4, 4, 1],
    ["staleness", 0, 4, 0],
    ["idle-time", 4, 1, 0],
  ];
  for (const [favours, maxVersionsBehind, maxOpenLots, expected] of rows) {
    it(`returns ${expected} for ${favours}, bound ${maxVersionsBehind}`, () => {
      const staleness = { maxVersionsBehind, maxAgeMs: 60_000 };
      const training = createTraining({ favours, staleness, maxOpenLots });
      assert.equal(computeRunAheadLots(training), expected);
    });
  }
});
