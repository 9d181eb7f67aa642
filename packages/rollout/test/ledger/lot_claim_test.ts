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

  testDecision("runs a lot that no process has claimed", undefined, {
    kind: "run",
  });
  testDecision("continues a lot of this process", SELF, { kind: "run" });
  testDecision(
    "continues a lot of an earlier process of this host",
    EARLIER_SELF,
    {
      kind: "run",
    },
  );
  testDecision("asks the other host that has claimed the lot", OTHER, {
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
      const isTaken = isTakenOver(createEntry(owner), {
        self: SELF,
        previousOwner: before,
      });
      assert.equal(isTaken, expected);
    });
  }

  testTaken(
    "retains a lot before its claim has been read",
    { owner: undefined },
    false,
  );
  testTaken("retains a lot that it has claimed", { owner: SELF }, false);
  testTaken(
    "retains a lot while the shard still names the previous owner",
    { owner: OTHER, before: OTHER },
    false,
  );
  testTaken("leaves a lot that another process has claimed since", {
    owner: OTHER,
    before: EARLIER_SELF,
  }, true);
});
