import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  getJoinPause,
  shouldTakeDuties,
} from "../../src/membership/duty_share.ts";

describe("shouldTakeDuties", () => {
  function testDuties(
    name: string,
    input: Parameters<typeof shouldTakeDuties>[0],
    expected: boolean,
  ): void {
    it(name, () => assert.equal(shouldTakeDuties(input), expected));
  }

  const small = { cores: 0.324, isMember: false, members: 20 };
  testDuties("leaves duties to larger hosts", small, false);
  testDuties("takes them where few do", { ...small, members: 2 }, true);
  testDuties("keeps them once taken", { ...small, isMember: true }, true);
  testDuties("takes them at once on a large host", {
    ...small,
    cores: 0.675,
  }, true);
});

describe("getJoinPause", () => {
  /** A join counts as a tenth of a call to the store. */
  const JOIN_CALLS = 0.1;
  /** The share of the store's write rate that joins may take. */
  const MAX_SHARE = 0.15;

  /** Returns the busiest second of joins of a fleet that starts all at once. */
  function countJoins(hosts: number, duties: number): number {
    const perSecond = new Array<number>(20).fill(0);
    for (let host = 0; host < hosts; host++) {
      let atMs = 0;
      while (atMs < 20_000) {
        const second = Math.floor(atMs / 1_000);
        perSecond[second] = (perSecond[second] ?? 0) + 1;
        atMs += getJoinPause({
          holdsDuties: host < duties,
          sinceStartMs: atMs,
        });
      }
    }
    return Math.max(...perSecond);
  }

  for (
    const [hosts, duties, writesPerS] of [
      [12, 24, 800],
      [195, 48, 3_200],
      [373, 48, 3_200],
    ] as const
  ) {
    it(`takes little of the store's rate with ${hosts} hosts`, () => {
      const calls = JOIN_CALLS * countJoins(hosts, duties);
      assert.ok(calls <= MAX_SHARE * writesPerS, `${calls} calls/s`);
    });
  }

  it("is missed later than three joins of a holder are late", () => {
    const pauseMs = getJoinPause({ holdsDuties: true, sinceStartMs: 60_000 });
    assert.ok(3 * pauseMs < 1_200);
  });
});
