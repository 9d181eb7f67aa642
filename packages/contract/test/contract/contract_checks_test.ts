import { readFileSync } from "node:fs";
import { IniDocument } from "@briarhill/common/settings/ini_document";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseCapacity } from "../../src/contract/capacity.ts";
import {
  checkContracts,
  type ContractWithSource,
} from "../../src/contract/contract_checks.ts";
import { parseContractSections } from "../../src/contract/contract_sections.ts";
import { toSectionSource } from "../../src/contract/section_source.ts";

const EXAMPLES = new URL("../../../../../examples/", import.meta.url);

function readExample(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), "utf8");
}

function createContract(
  name: string,
  edit: (text: string) => string = (text) => text,
): ContractWithSource {
  const text = edit(readExample(`${name}_contract.ini`));
  const source = toSectionSource(IniDocument.parse(`${name}.ini`, text));
  return { structure: parseContractSections(source), source };
}

const CAPACITY = parseCapacity("platform.ini", readExample("platform.ini"));

describe("checkContracts", () => {
  function doTest(
    edits: Readonly<Record<string, (text: string) => string>>,
    expected: readonly string[],
  ): void {
    const contracts = ["agencia", "maison"].map((name) =>
      createContract(name, edits[name])
    );
    const faults = checkContracts(contracts, CAPACITY);
    assert.deepEqual(
      faults.map(({ file, section, key }) =>
        `${file} ${section} ${key}`.trim()
      ),
      expected,
    );
    assert.ok(faults.every(({ line }) => line > 0));
  }

  it("returns no faults for the example contracts", () => doTest({}, []));

  it("returns each fault with its file, section and key", () => {
    doTest({ agencia: (text) => text.replace("share = 0.6", "share = 0.7") }, [
      "agencia.ini engine_time share",
      "maison.ini engine_time share",
    ]);
    doTest({
      maison: (text) =>
        text.replace(
          /sha256.*/,
          /sha256.*/.exec(readExample("agencia_contract.ini"))?.[0] ?? "",
        ),
    }, ["maison.ini keys sha256"]);
    doTest({ agencia: (text) => text.replace("= agencia", "= other") }, [
      "agencia.ini contract customer",
    ]);
    doTest({ maison: (text) => text.replaceAll("= folds", "= fold") }, [
      "maison.ini live models",
      "maison.ini training models",
    ]);
    doTest({ maison: (text) => text.replace("service quotes", "service x") }, [
      "maison.ini service x",
    ]);
    doTest({
      agencia: (text) => text.replace("max_tokens = 8192", "max_tokens = 8193"),
    }, ["agencia.ini training max_tokens"]);
  });

  it("reports an excess sum of shares at the last contract if none has a source", () => {
    const faults = checkContracts([
      { structure: createContract("agencia").structure },
      {
        structure: createContract("maison", (text) =>
          text.replace("= 0.4", "= 0.5"))
          .structure,
      },
    ]);
    assert.deepEqual(faults.map(({ file }) => file), ['contract of "maison"']);
  });
});
