import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { applyPage } from "../../src/configuration/configuration_fold.ts";
import type { ConfigurationChange } from "../../src/configuration/configuration_record.ts";
import {
  EMPTY_CONFIGURATION,
  findContract,
  isDrained,
} from "../../src/configuration/configuration_state.ts";
import {
  ConfigurationSimulation,
  createRecord,
  createSections,
} from "./configuration_simulation.ts";

describe("applyPage", () => {
  function doTest(
    changes: readonly ConfigurationChange[],
    expected: readonly string[],
  ): void {
    const simulation = new ConfigurationSimulation(0);
    const verdicts = changes.map((change, sequence) =>
      simulation.append(createRecord(change, sequence))?.verdict
    );
    assert.deepEqual(verdicts, expected);
  }

  function createContract(
    customer: string,
    basedOn: number,
    share = 0.5,
  ): ConfigurationChange {
    const sections = createSections(customer, share);
    return { kind: "contract", customer, basedOn, sections };
  }

  function createAmendment(
    customer: string,
    basedOn: number,
    section: Readonly<Record<string, string>>,
  ): ConfigurationChange {
    const sections = { "engine_time": section };
    return { kind: "amendment", customer, basedOn, sections, removed: [] };
  }

  it("accepts the first change of a revision and rejects later ones", () => {
    doTest([createContract("a", -1), createContract("a", -1, 0.4)], [
      "accepted",
      "conflict",
    ]);
    doTest([
      createContract("a", -1),
      createAmendment("a", 0, { share: "0.6" }),
      createAmendment("a", 0, { share: "0.7" }),
      createAmendment("a", 1, { share: "0.7" }),
    ], ["accepted", "accepted", "conflict", "accepted"]);
  });

  it("retains the revision of a removed contract", () => {
    doTest([
      createContract("a", -1),
      { kind: "removal", customer: "a", basedOn: 0 },
      createContract("a", -1),
      createContract("a", 0),
      createContract("a", 1),
    ], ["accepted", "accepted", "conflict", "conflict", "accepted"]);
  });

  it("rejects changes that are invalid with the configuration in force", () => {
    doTest([
      createContract("a", -1, 0.6),
      createContract("b", -1, 0.5),
      createContract("b", -1, 0.4),
      createAmendment("b", 2, { share: "0.41" }),
      createAmendment("b", 2, { shares: "0.1" }),
      createAmendment("c", -1, { share: "0" }),
    ], ["accepted", "invalid", "accepted", "invalid", "invalid", "invalid"]);
  });

  it("reports a repeat of the record in force as a duplicate", () => {
    const simulation = new ConfigurationSimulation(0);
    const record = createRecord(createContract("a", -1));
    const verdicts = [record, record, record].map((repeat) =>
      simulation.append(repeat)?.verdict
    );
    assert.deepEqual(verdicts, ["accepted", "duplicate", "duplicate"]);
  });

  it("skips malformed records and applies nothing beyond a gap", () => {
    const malformed = [{ offset: 0, timeMs: 0, value: "{" }];
    const { state, verdicts } = applyPage(EMPTY_CONFIGURATION, {
      records: malformed,
      first: 0,
    });
    assert.equal(state.offset, 0);
    assert.equal(verdicts[0]?.verdict, "malformed");
    const beyondGap = [{ offset: 3, timeMs: 0, value: "{" }];
    assert.equal(applyPage(state, { records: beyondGap, first: 3 }).gap, true);
    const skipped = applyPage(state, { records: beyondGap, first: 0 });
    assert.equal(skipped.state.offset, 0);
  });

  it("applies a drain only to its kind of target", () => {
    const target = { kind: "failure-domain", name: "d" } as const;
    const value = JSON.stringify(
      createRecord({ kind: "drain", basedOn: -1, target, draining: true }),
    );
    const records = [{ offset: 0, timeMs: 0, value }];
    const { state } = applyPage(EMPTY_CONFIGURATION, { records, first: 0 });
    assert.equal(isDrained(state, { host: "d" }), false);
    assert.equal(isDrained(state, { host: "h", failureDomain: "d" }), true);
  });

  it("takes the customer of a contract from the record", () => {
    const simulation = new ConfigurationSimulation(1);
    const sections = createSections("other", 0.1);
    simulation.append(
      createRecord({ kind: "contract", customer: "a", basedOn: -1, sections }),
    );
    simulation.read(0, { behind: 0, limit: 1 });
    const contract = findContract(simulation.getHost(0).state, "a");
    assert.equal(contract?.structure.customer, "a");
  });
});
