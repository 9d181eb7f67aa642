import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decideClaim, isTakenOver } from "../../src/ledger/lot_claim.ts";

const SELF = "10.0.0.1/b2";
const EARLIER_SELF = "10.0.0.1/a1";
const OTHER = "10.0.0.2/c3";

function createEntry(owner?: string) {
  return { lot: "l", partition: 3, ...(owner === undefined ? {} : { owner }) };
}

describe("decideClaim", () => {
  function testDecision(
    name: string,
    owner: string | undefined,
    expected: ReturnType<typeof decideClaim>,
  ): void {
    it(name, () => {
      assert.deepEqual(decideClaim(createEntry(owner), SELF), expected);
    });
  }

  testDecision("runs a lot that nobody has claimed", undefined, {
    kind: "run",
  });
  testDecision("goes on with its own lot", SELF, { kind: "run" });
  testDecision("goes on with the lot of its earlier process", EARLIER_SELF, {
    kind: "run",
  });
  testDecision("asks another host that has claimed it", OTHER, {
    kind: "ask",
    host: "10.0.0.2",
  });
});

describe("isTakenOver", () => {
  function testTaken(
    name: string,
    claim: { readonly owner: string | undefined; readonly before?: string },
    expected: boolean,
  ): void {
    it(name, () => {
      const { owner, before } = claim;
      const isTaken = isTakenOver(createEntry(owner), { self: SELF, before });
      assert.equal(isTaken, expected);
    });
  }

  testTaken(
    "keeps a lot before its claim is read",
    { owner: undefined },
    false,
  );
  testTaken("keeps a lot that it has claimed", { owner: SELF }, false);
  testTaken(
    "keeps a lot while the shard still names the owner before",
    { owner: OTHER, before: OTHER },
    false,
  );
  testTaken("leaves a lot that another one has claimed since", {
    owner: OTHER,
    before: EARLIER_SELF,
  }, true);
});
