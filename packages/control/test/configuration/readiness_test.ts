import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  isConfigurationReady,
  type ReadinessInput,
} from "../../src/configuration/readiness.ts";

describe("isConfigurationReady", () => {
  function doTest(input: Partial<ReadinessInput>, expected: boolean): void {
    const actual = isConfigurationReady({
      appliedOffset: 7,
      logEnd: 8,
      peerOffset: 7,
      peers: 11,
      uptimeMs: 100,
      ...input,
    });
    assert.equal(actual, expected, JSON.stringify(input));
  }

  it("requires the higher of the offsets of the log and of a peer", () => {
    doTest({}, true);
    doTest({ appliedOffset: 6 }, false);
    doTest({ peerOffset: 8 }, false);
    doTest({ logEnd: 9 }, false);
    doTest({ logEnd: undefined }, true);
    doTest({ logEnd: undefined, peerOffset: 8 }, false);
    doTest({ logEnd: undefined, peerOffset: undefined }, false);
    doTest({ peerOffset: undefined }, false);
    doTest({ peerOffset: undefined, peers: 0 }, true);
    doTest({ peerOffset: undefined, uptimeMs: 2_000 }, true);
    doTest({ appliedOffset: -1, logEnd: 0, peerOffset: -1 }, true);
  });
});
