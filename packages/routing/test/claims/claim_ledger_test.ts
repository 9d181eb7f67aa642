import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  CLAIM_LIFETIME_MS,
  ClaimLedger,
} from "../../src/claims/claim_ledger.ts";
import {
  type ClaimStructure,
  decodeClaims,
  encodeClaims,
} from "../../src/claims/claim_structure.ts";

describe("ClaimLedger.apply", () => {
  const claim = (callId: string, supersedes?: string): ClaimStructure => ({
    callId,
    keyHash: "a1",
    holder: "h",
    incarnation: 1,
    ...(supersedes === undefined ? {} : { supersedes }),
  });

  it("retains the first claim, lets a later one supersede it, and evicts it after its lifetime", () => {
    const ledger = new ClaimLedger();
    const rows: [ClaimStructure, number, string][] = [
      [claim("a"), 0, "a"],
      [claim("b"), 1, "a"],
      [claim("c", "b"), 2, "a"],
      [claim("d", "a"), 3, "d"],
      [claim("e", "a"), 4, "d"],
      [claim("f"), CLAIM_LIFETIME_MS + 2, "d"],
      [claim("g"), CLAIM_LIFETIME_MS + 3, "g"],
    ];
    rows.forEach(([added, timeMs, expected], offset) => {
      ledger.apply({ offset, timeMs, claims: [added] });
      assert.equal(ledger.getOwner("a1")?.callId, expected);
    });
  });

  it("decodes encoded claims, and returns no claims for other text", () => {
    const claims = [claim("a"), claim("b", "a")];
    assert.deepEqual(decodeClaims(encodeClaims(claims)), claims);
    for (const text of ["", "{}", "null", "[1,[2]]", "[[1,2,3,4]]"]) {
      assert.deepEqual(decodeClaims(text), []);
    }
  });
});

describe("ClaimLedger, bounds", () => {
  const KEYS = 40;
  const claim = (callId: string, key: number): ClaimStructure => ({
    callId,
    keyHash: `abc${key}`,
    holder: "h",
    incarnation: 1,
  });

  function createFullLedger(): ClaimLedger {
    const ledger = new ClaimLedger(8);
    for (let key = 0; key < KEYS; key++) {
      const claims = [claim(`first${key}`, key)];
      ledger.apply({ offset: key, timeMs: key, claims });
    }
    return ledger;
  }

  function doRepeatTest(timeMs: number, expected: string | undefined): void {
    const ledger = createFullLedger();
    ledger.apply({ offset: KEYS, timeMs, claims: [claim("again", 0)] });
    assert.equal(ledger.getOwner("abc0")?.callId, expected);
  }

  it("retains all keys, but only the owners of the newest", () => {
    const ledger = createFullLedger();
    assert.equal(ledger.size, KEYS);
    assert.equal(ledger.getOwner("abc39")?.callId, "first39");
    assert.equal(ledger.getOwner("abc0"), undefined);
  });

  it("grants a key without a retained owner to no claim until its lifetime ends", () => {
    doRepeatTest(KEYS, undefined);
    doRepeatTest(CLAIM_LIFETIME_MS - 1, undefined);
    doRepeatTest(CLAIM_LIFETIME_MS + KEYS, "again");
  });

  it("renews the lifetime of a key that is claimed again", () => {
    const ledger = createFullLedger();
    const repeatedAtMs = CLAIM_LIFETIME_MS / 2;
    ledger.apply({ offset: 40, timeMs: repeatedAtMs, claims: [claim("b", 0)] });
    const timeMs = CLAIM_LIFETIME_MS + repeatedAtMs - 1;
    ledger.apply({ offset: 41, timeMs, claims: [claim("c", 0)] });
    assert.equal(ledger.getOwner("abc0"), undefined);
  });
});
