import { readFileSync } from "node:fs";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  checkAmendment,
  mergeAmendment,
  parseAmendment,
} from "../../src/contract/amendment.ts";
import { compareContracts } from "../../src/contract/contract_diff.ts";
import {
  formatContract,
  parseContract,
} from "../../src/contract/contract_text.ts";

const EXAMPLES = new URL("../../../../../examples/", import.meta.url);
const AGENCIA = parseContract(
  "a.ini",
  readFileSync(new URL("agencia_contract.ini", EXAMPLES), "utf8"),
);

describe("formatContract", () => {
  it("returns text that parseContract parses to the same contract", () => {
    assert.deepEqual(parseContract("b.ini", formatContract(AGENCIA)), AGENCIA);
  });
});

describe("parseAmendment", () => {
  it("parses the revision that the amendment is based on", () => {
    const text = "[amend]\ncustomer = a\nbased_on = 7\n";
    const { amendment } = parseAmendment("m.ini", text);
    assert.equal(amendment.basedOn, 7);
  });
});

describe("mergeAmendment", () => {
  function doTest(text: string, expected: readonly string[]): void {
    const { amendment } = parseAmendment(
      "m.ini",
      `[amend]\ncustomer = agencia\n${text}`,
    );
    const differences = compareContracts(
      AGENCIA,
      mergeAmendment(AGENCIA, amendment),
    );
    assert.deepEqual(
      differences.map(({ section, key, after }) =>
        `${section} ${key} ${after}`
      ),
      expected,
    );
  }

  it("changes only the keys and sections that the amendment names", () => {
    doTest("", []);
    doTest("[engine_time]\nshare = 0.5\n", ["engine_time share 0.5"]);
    doTest("[live]\nmodels[] = a\nmodels[] = b\n", ["live models a, b"]);
    doTest("[training]\nscorer = http://127.0.0.1:1/\n", [
      "training scorer http://127.0.0.1:1/",
    ]);
    doTest("remove[] = service register\n", [
      "service register idempotent undefined",
      "service register max_open_calls undefined",
      "service register max_body_bytes undefined",
      "service register deadline_ms undefined",
    ]);
    doTest(
      "[service extra]\nidempotent = yes\nmax_open_calls = 1\n" +
        "max_body_bytes = 2\ndeadline_ms = 3\n",
      [
        "service extra idempotent yes",
        "service extra max_open_calls 1",
        "service extra max_body_bytes 2",
        "service extra deadline_ms 3",
      ],
    );
  });
});

describe("checkAmendment", () => {
  function doTest(text: string, expected: readonly string[]): void {
    const parsed = parseAmendment(
      "m.ini",
      `[amend]\ncustomer = agencia\n${text}`,
    );
    assert.deepEqual(
      checkAmendment(AGENCIA, parsed).map(({ line, section, key }) =>
        `${line} ${section} ${key}`.trim()
      ),
      expected,
    );
  }

  it("returns each fault with its line in the amendment", () => {
    doTest(
      "[engine_time]\nshare = 2\n[live]\nprio = 1\ndeadline_ms =\n",
      [
        "4 engine_time share",
        "6 live prio",
        "7 live deadline_ms",
      ].sort(),
    );
    doTest("remove[] = keys\n", ["3 amend remove"]);
    doTest("remove[] = service other\n", ["3 amend remove"]);
    doTest("[contract]\ncustomer = maison\n", ["3 contract"]);
    doTest("[shares]\nx = 1\n", ["3 shares"]);
  });
});
