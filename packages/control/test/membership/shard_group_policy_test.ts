import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  getJoinInterval,
  shouldJoinShardGroup,
} from "../../src/membership/shard_group_policy.ts";

describe("shouldJoinShardGroup", () => {
  function testJoin(
    name: string,
    input: Parameters<typeof shouldJoinShardGroup>[0],
    expected: boolean,
  ): void {
    it(name, () => assert.equal(shouldJoinShardGroup(input), expected));
  }

  const small = { cores: 0.324, isMember: false, members: 20 };
  testJoin(
    "returns false for a small host while the group has enough members",
    small,
    false,
  );
  testJoin(
    "returns true for a small host while the group has too few members",
    { ...small, members: 2 },
    true,
  );
  testJoin("returns true for a small host that is a member", {
    ...small,
    isMember: true,
  }, true);
  testJoin("returns true for a large host", {
    ...small,
    cores: 0.675,
  }, true);
});

describe("getJoinInterval", () => {
  /** The cost of a join, in calls to the store. */
  const JOIN_CALLS = 0.1;
  /** The share of the store's write rate that joins may use. */
  const MAX_SHARE = 0.15;

  /** Returns the maximum number of joins per second of a fleet whose hosts start simultaneously. */
  function countJoins(hosts: number, shards: number): number {
    const perSecond = new Array<number>(20).fill(0);
    for (let host = 0; host < hosts; host++) {
      let atMs = 0;
      while (atMs < 20_000) {
        const second = Math.floor(atMs / 1_000);
        perSecond[second] = (perSecond[second] ?? 0) + 1;
        atMs += getJoinInterval({
          ownsShards: host < shards,
          uptimeMs: atMs,
        });
      }
    }
    return Math.max(...perSecond);
  }

  for (
    const [hosts, shards, writesPerS] of [
      [12, 24, 800],
      [195, 48, 3_200],
      [373, 48, 3_200],
    ] as const
  ) {
    it(`limits the share of joins in the store's write rate with ${hosts} hosts`, () => {
      const calls = JOIN_CALLS * countJoins(hosts, shards);
      assert.ok(calls <= MAX_SHARE * writesPerS, `${calls} calls/s`);
    });
  }

  it("lets an owner miss three joins within the time to live of its membership", () => {
    const pauseMs = getJoinInterval({ ownsShards: true, uptimeMs: 60_000 });
    assert.ok(3 * pauseMs < 1_200);
  });
});
