import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DeliveryLedger } from "../../src/delivery/delivery_ledger.ts";
import {
  type DeliveryRecord,
  formatDeliveryRecord,
  parseDeliveryRecord,
} from "../../src/delivery/delivery_record.ts";
import { decidePullRoute } from "../../src/delivery/pull_route.ts";

type Tuple = readonly [number, number, number];

const A = { host: "a", incarnation: 1 };
const B = { host: "b", incarnation: 1 };
const OPEN: DeliveryRecord = {
  kind: "open",
  ...A,
  customer: "agencia",
  digest: "d",
  samples: 4,
  keepers: [],
};

function take(owner: typeof A, after: number): DeliveryRecord {
  return { kind: "take", ...owner, after };
}

function settle(epoch: number, ...tuples: readonly Tuple[]): DeliveryRecord {
  const samples = tuples.map(([position, slot, attempt]) => ({
    position,
    slot,
    attempt,
    hash: `${slot}.${attempt}`,
  }));
  return { kind: "settle", epoch, samples };
}

function close(epoch: number): DeliveryRecord {
  return { kind: "close", epoch, reason: "delivered" };
}

function createLedger(records: readonly DeliveryRecord[]): DeliveryLedger {
  const ledger = new DeliveryLedger();
  records.forEach((record, offset) => {
    const parsed = parseDeliveryRecord(formatDeliveryRecord(record));
    const page = { records: [{ offset, record: parsed }] };
    ledger.applyPage({ ...page, first: 0, next: offset + 1 });
    ledger.applyPage({ ...page, first: 0, next: offset + 1 });
  });
  return ledger;
}

function check(
  name: string,
  records: readonly DeliveryRecord[],
  expected: {
    readonly owner?: string;
    readonly epoch?: number;
    readonly settled: readonly string[];
  },
): void {
  it(name, () => {
    const ledger = createLedger(records);
    const settled = Array.from(
      { length: ledger.countSettled() },
      (_, position) => ledger.getSettled(position)?.hash,
    );
    assert.deepEqual(settled, expected.settled);
    assert.equal(ledger.getOwner()?.host, expected.owner ?? "a");
    assert.equal(ledger.getEpoch(), expected.epoch ?? 0);
  });
}

describe("DeliveryLedger.applyPage", () => {
  check(
    "applies only the first of two open records",
    [OPEN, { ...OPEN, ...B }],
    { settled: [] },
  );
  check("settles samples in the order of the record", [
    OPEN,
    settle(0, [0, 2, 1], [1, 0, 1]),
  ], {
    settled: ["2.1", "0.1"],
  });
  check("ignores a repeated settle record", [
    OPEN,
    settle(0, [0, 2, 1]),
    settle(0, [0, 2, 1]),
  ], { settled: ["2.1"] });
  check("ignores a settle record that leaves a gap", [
    OPEN,
    settle(0, [1, 2, 1]),
  ], { settled: [] });
  check("ignores a settle record with a slot at a second position", [
    OPEN,
    settle(0, [0, 2, 1]),
    settle(0, [1, 2, 2]),
  ], { settled: ["2.1"] });
  check("ignores a settle record that holds a slot twice", [
    OPEN,
    settle(0, [0, 2, 1], [1, 2, 2]),
  ], { settled: [] });
  check("ignores a settle record with another slot at a settled position", [
    OPEN,
    settle(0, [0, 2, 1]),
    settle(0, [0, 3, 2]),
  ], { settled: ["2.1"] });
  check("replaces a settled attempt by a later one of the same slot", [
    OPEN,
    settle(0, [0, 2, 1]),
    settle(0, [0, 2, 2], [1, 1, 1]),
    settle(0, [0, 2, 1]),
  ], { settled: ["2.2", "1.1"] });
  check("ignores settle records of an epoch that a takeover ended", [
    OPEN,
    settle(0, [0, 2, 1]),
    take(B, 0),
    settle(0, [1, 1, 1]),
    settle(2, [1, 3, 1]),
  ], { owner: "b", epoch: 2, settled: ["2.1", "3.1"] });
  check("applies only the first of two takeovers of an epoch", [
    OPEN,
    take(B, 0),
    take({ host: "c", incarnation: 1 }, 0),
  ], { owner: "b", epoch: 1, settled: [] });
  check("ignores records after a close record", [
    OPEN,
    close(0),
    take(B, 0),
    settle(0, [0, 1, 1]),
  ], { settled: [] });

  it("reports expiry when the log starts after the next offset", () => {
    const ledger = new DeliveryLedger();
    ledger.applyPage({ records: [], first: 3, next: 3 });
    assert.equal(ledger.hasExpired(), true);
  });
});

describe("parseDeliveryRecord", () => {
  for (const value of ["", "null", "{}", '{"kind":"later"}']) {
    it(`returns undefined for ${JSON.stringify(value)}`, () => {
      assert.equal(parseDeliveryRecord(value), undefined);
    });
  }
});

describe("decidePullRoute", () => {
  const alive = { incarnation: 1, state: "alive" as const };
  const rows: readonly [
    string,
    readonly DeliveryRecord[],
    Parameters<typeof decidePullRoute>[1]["observation"],
    string,
  ][] = [
    ["a lot without records", [], undefined, "unknown"],
    ["a lot of this process", [{ ...OPEN, ...B }], alive, "serve"],
    [
      "a lot of an earlier process of this host",
      [
        { ...OPEN, host: "b", incarnation: 0 },
      ],
      alive,
      "take",
    ],
    ["an owner that is alive", [OPEN], alive, "forward"],
    ["a suspected owner", [OPEN], { ...alive, state: "suspect" }, "forward"],
    [
      "an owner that is leaving",
      [OPEN],
      { ...alive, state: "leaving" },
      "forward",
    ],
    ["a failed owner", [OPEN], { ...alive, state: "failed" }, "take"],
    ["a restarted owner", [OPEN], { ...alive, incarnation: 2 }, "take"],
    ["an owner that is not a member", [OPEN], undefined, "take"],
    ["a closed lot", [OPEN, close(0)], alive, "closed"],
  ];
  for (const [name, records, sighting, expected] of rows) {
    it(`answers "${expected}" for ${name}`, () => {
      const ledger = createLedger(records);
      const route = decidePullRoute(ledger, { self: B, observation: sighting });
      assert.equal(route.kind, expected);
    });
  }
});
