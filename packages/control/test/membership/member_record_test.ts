import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import {
  type MemberRecord,
  mergeRecords,
} from "../../src/membership/member_record.ts";
import { Membership } from "../../src/membership/membership.ts";
import { DEFAULT_MEMBERSHIP_OPTIONS } from "../../src/membership/membership_options.ts";

function createRecord(changes: Partial<MemberRecord> = {}): MemberRecord {
  return {
    host: "host-1",
    incarnation: 5,
    refutation: 1,
    status: "alive",
    leaving: false,
    address: "127.0.0.1:9080",
    failureDomain: "north",
    region: "east",
    ...changes,
  };
}

describe("mergeRecords", () => {
  const table: readonly (readonly [
    string,
    Partial<MemberRecord>,
    Partial<MemberRecord>,
    Partial<MemberRecord>,
  ])[] = [
    ["prefers a later incarnation", { status: "failed" }, { incarnation: 6 }, {
      incarnation: 6,
    }],
    [
      "ignores an earlier incarnation",
      {},
      { incarnation: 4, refutation: 9 },
      {},
    ],
    ["prefers a refutation", { status: "failed" }, { refutation: 2 }, {
      refutation: 2,
    }],
    ["does not replace failed by alive", { status: "failed" }, {}, {
      status: "failed",
    }],
    ["prefers a suspicion to alive", {}, { status: "suspect" }, {
      status: "suspect",
    }],
    ["retains leaving", { leaving: true }, { refutation: 2 }, {
      leaving: true,
      refutation: 2,
    }],
    [
      "takes leaving from an older record",
      { refutation: 2 },
      { leaving: true },
      {
        leaving: true,
        refutation: 2,
      },
    ],
    ["clears leaving with a new incarnation", { leaving: true }, {
      incarnation: 6,
    }, { incarnation: 6 }],
  ];
  for (const [name, known, received, expected] of table) {
    it(name, () => {
      assert.deepEqual(
        mergeRecords(createRecord(known), createRecord(received)),
        createRecord(expected),
      );
    });
  }
});

describe("Membership.advance", () => {
  it("waits the full suspicion timeout after a pause of this process", () => {
    const membership = new Membership({
      self: createRecord({ host: "host-0" }),
      seeds: [],
      options: DEFAULT_MEMBERSHIP_OPTIONS,
      random: new SeededRandom(1),
    }, 0);
    const opened = { link: 1, host: "host-2", incarnation: 1 };
    membership.handleLinkOpened({ ...opened, role: "accepted" }, 0);
    const records = [createRecord({ status: "suspect" })];
    membership.handleMessage({
      link: 1,
      message: { digest: 0, whole: false, records, items: [] },
    }, 0);
    const getStatus = () =>
      membership.listRecords().find(({ host }) => host === "host-1")?.status;
    membership.advance(60_000);
    assert.equal(getStatus(), "suspect");
    assert.equal(membership.countLinks(), 1);
    for (let nowMs = 60_000; nowMs < 68_000; nowMs += 100) {
      membership.advance(nowMs);
    }
    assert.equal(getStatus(), "failed");
  });
});
