import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DoubtfulAttempts } from "../../src/crashes/doubtful_attempts.ts";
import { createEndpoint } from "../calls/sender_fixture.ts";

const STARTED_AT_MS = 100;

/** Behind a proxy that accepts connections, an ended endpoint is found only by the list of endpoints. */
describe("DoubtfulAttempts", () => {
  const endpoint = { ...createEndpoint(1), startedAtMs: STARTED_AT_MS };

  function createAttempts(): DoubtfulAttempts {
    const attempts = new DoubtfulAttempts();
    attempts.addAttempt({ digest: "d", endpoint, isTrial: false, lostAtMs: 0 });
    return attempts;
  }

  function countRestarted(startedAtMs: number, nowMs: number): number {
    return createAttempts()
      .takeRestarted(() => ({ ...endpoint, startedAtMs }), nowMs).length;
  }

  it("returns attempts whose endpoint has restarted", () => {
    assert.equal(countRestarted(STARTED_AT_MS + 1, 1_000), 1);
  });

  it("returns no attempt whose endpoint lives on, is leaving or restarts much later", () => {
    assert.equal(countRestarted(STARTED_AT_MS, 1_000), 0);
    assert.equal(
      createAttempts().takeRestarted(() => undefined, 1_000).length,
      0,
    );
    assert.equal(countRestarted(STARTED_AT_MS + 1, 60_000), 0);
  });

  it("returns attempts whose endpoint is removed, once", () => {
    const attempts = createAttempts();
    assert.equal(attempts.takeRemoved(["other"], 1_000).length, 0);
    assert.equal(attempts.takeRemoved(["e"], 1_000).length, 1);
    assert.equal(attempts.takeRemoved(["e"], 1_000).length, 0);
  });
});
