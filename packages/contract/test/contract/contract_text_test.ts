import { ContractError } from "@briarhill/common/errors/errors";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { parseContract } from "../../src/contract/contract_text.ts";

const EXAMPLES = new URL("../../../../../examples/", import.meta.url);

function readExample(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), "utf8");
}

describe("parseContract", () => {
  it("parses both example contracts", () => {
    const agencia = parseContract(
      "agencia_contract.ini",
      readExample("agencia_contract.ini"),
    );
    const maison = parseContract(
      "maison_contract.ini",
      readExample("maison_contract.ini"),
    );
    assert.equal(agencia.training?.favours, "idle-time");
    assert.equal(maison.training?.staleness.maxVersionsBehind, 1);
    assert.equal(maison.services[0]?.idempotent, false);
  });

  function doFaultTest(
    edit: (text: string) => string,
    expected: { readonly section: string; readonly key: string },
  ): void {
    const text = edit(readExample("agencia_contract.ini"));
    assert.throws(
      () => parseContract("a.ini", text),
      (error: unknown) =>
        error instanceof ContractError && error.section === expected.section &&
        error.key === expected.key && error.line > 0,
    );
  }

  it("throws a ContractError with the section, key and line of each fault", () => {
    doFaultTest((text) => text.replace("share = 0.6", "share = 1.6"), {
      section: "engine_time",
      key: "share",
    });
    doFaultTest((text) => text.replace("lend = yes", "lend = maybe"), {
      section: "engine_time",
      key: "lend",
    });
    doFaultTest(
      (text) => text.replace("max_open_lots", "max_opened_lots"),
      { section: "training", key: "max_open_lots" },
    );
    doFaultTest((text) => text + "[other]\nx = 1\n", {
      section: "other",
      key: "",
    });
  });
});
