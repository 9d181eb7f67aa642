import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { LotOwner } from "../../src/delivery/lot_owner.ts";
import type { DeliveryRecord } from "../../src/delivery/delivery_record.ts";
import type { OwnerCommand } from "../../src/delivery/owner_command.ts";
import { StalenessRule } from "../../src/staleness/staleness_rule.ts";
import { VersionHistory } from "../../src/staleness/version_history.ts";
import { createLot, createSample } from "../fixtures/lots.ts";

const MAX_APPENDS = 100;
const TICK_MS = 50;

interface Scenario {
  readonly samples: number;
  /** Returns the time at which the sample of a slot is finished. */
  readonly finishMs: (random: SeededRandom) => number;
  readonly limit: number;
}

/** Runs a lot whose trainer always has a pull open; returns the log records. */
function runScenario(scenario: Scenario): readonly DeliveryRecord[] {
  const groups = Array.from({ length: scenario.samples / 8 }, (_, index) => ({
    id: `g${index}`,
    prompt: "p",
  }));
  const owner = new LotOwner({
    lot: createLot({ groups, samplesPerGroup: 8 }),
    self: { host: "a", incarnation: 1 },
    rule: new StalenessRule({ maxVersionsBehind: 1, maxAgeMs: 1000 }),
    keepers: [],
    retainMs: 1000,
  });
  const random = new SeededRandom(3);
  const unfinished = Array.from({ length: scenario.samples }, (_, slot) => ({
    slot,
    atMs: scenario.finishMs(random),
  })).sort((a, b) => b.atMs - a.atMs);
  const records: DeliveryRecord[] = [];
  const queue: OwnerCommand[] = [];
  let cursor = 0;
  let openPulls = 0;
  for (let nowMs = 0; owner.getPhase() !== "closed"; nowMs += TICK_MS) {
    const context = { nowMs, wallMs: 0, history: new VersionHistory([]) };
    queue.push(...owner.handleTick(context));
    while ((unfinished.at(-1)?.atMs ?? Infinity) <= nowMs) {
      const sample = createSample({ slot: unfinished.pop()?.slot ?? 0 });
      queue.push(...owner.handleFinished(sample, context));
    }
    if (openPulls === 0 && owner.getPhase() === "owning") {
      openPulls++;
      const pull = { id: `${nowMs}`, cursor, limit: scenario.limit };
      queue.push(...owner.handlePull(pull, context));
    }
    for (let command = queue.shift(); command; command = queue.shift()) {
      if (command.kind === "append") {
        records.push(command.record);
        queue.push(...owner.handleLogEnd("maybe-done", context));
      } else if (command.kind === "sync") {
        const page = records.slice(command.from).map((record, index) => ({
          offset: (command as { from: number }).from + index,
          record,
        }));
        const next = records.length;
        const synced = { records: page, first: 0, next };
        queue.push(...owner.handleSynced(synced, context));
      } else if (command.kind === "answer") {
        openPulls--;
        cursor = command.answer.nextCursor;
      }
    }
  }
  assert.equal(cursor, scenario.samples);
  return records;
}

describe("AppendPacer", () => {
  const rows: readonly [string, Scenario][] = [
    ["that finish evenly over 3 minutes", {
      samples: 16_384,
      finishMs: (random) => random.getFloat() * 180_000,
      limit: 16_384,
    }],
    ["that finish with a heavy tail and are pulled 16 at a time", {
      samples: 16_384,
      finishMs: (random) => random.getLogNormal(40_000, 0.8),
      limit: 16,
    }],
    ["of a small lot that finish evenly over 2 minutes", {
      samples: 256,
      finishMs: (random) => random.getFloat() * 120_000,
      limit: 256,
    }],
  ];
  for (const [name, scenario] of rows) {
    it(`settles ${scenario.samples} samples ${name} in few appends`, (test) => {
      const records = runScenario(scenario);
      test.diagnostic(`${records.length} appends`);
      assert.ok(records.length < MAX_APPENDS, `${records.length} appends`);
      assert.deepEqual(records.at(-1), {
        kind: "close",
        epoch: 0,
        reason: "delivered",
      });
    });
  }
});
