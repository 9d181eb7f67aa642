import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CLAIM_LIFETIME_MS } from "../../src/claims/claim_ledger.ts";
import { ClaimWriter } from "../../src/claims/claim_writer.ts";

describe("ClaimWriter.add", () => {
  it("refuses claims at the key limit instead of evicting keys", () => {
    const writer = new ClaimWriter({ maxKeys: 1 });
    const claim = { keyHash: "a1", holder: "h", incarnation: 1 };
    const [first] = writer.add([{ ...claim, callId: "1" }], 0);
    assert.equal(first?.kind, "append");
    const claims = [{ ...claim, callId: "1" }];
    const records = [{ offset: 0, timeMs: 0, claims }];
    writer.handlePage({ records, firstOffset: 0 }, 1);
    assert.deepEqual(writer.add([{ ...claim, callId: "2" }], 2), [{
      kind: "settle",
      callId: "2",
      verdict: { kind: "unsettled" },
    }]);
  });
});

describe("ClaimWriter.handlePage", () => {
  function doRetentionTest(heldMs: number, expected: number | undefined): void {
    const writer = new ClaimWriter();
    const toPage = (offset: number, timeMs: number) => ({
      records: [{ offset, timeMs, claims: [] }],
      firstOffset: offset,
    });
    writer.handlePage(toPage(0, 0), 0);
    const commands = writer.handlePage(toPage(1, heldMs), heldMs);
    const warning = commands.find((command) => command.kind === "warn");
    assert.equal(warning?.heldMs, expected);
  }

  it("warns if the log dropped a record within the lifetime of its keys", () => {
    doRetentionTest(1000, 1000);
    doRetentionTest(CLAIM_LIFETIME_MS - 1, CLAIM_LIFETIME_MS - 1);
    doRetentionTest(CLAIM_LIFETIME_MS, undefined);
  });
});
