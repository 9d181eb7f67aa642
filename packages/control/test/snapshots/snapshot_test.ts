import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { applyPage } from "../../src/configuration/configuration_fold.ts";
import { encodeConfigurationRecord } from "../../src/configuration/configuration_record.ts";
import {
  type ConfigurationState,
  EMPTY_CONFIGURATION,
} from "../../src/configuration/configuration_state.ts";
import {
  decodeNewestSnapshot,
  encodeSnapshot,
  hashConfiguration,
} from "../../src/snapshots/snapshot.ts";
import { shouldWriteSnapshot } from "../../src/snapshots/snapshot_schedule.ts";
import {
  createRecord,
  createSections,
} from "../configuration/configuration_simulation.ts";

function createState(customers: number): ConfigurationState {
  const records = Array.from({ length: customers }, (_, offset) => {
    const customer = `customer-${offset}`;
    const sections = createSections(customer, 0);
    const record = createRecord(
      { kind: "contract", customer, basedOn: -1, sections },
      offset,
    );
    return { offset, timeMs: 0, value: encodeConfigurationRecord(record) };
  });
  return applyPage(EMPTY_CONFIGURATION, { records, first: 0 }).state;
}

function encodeParts(state: ConfigurationState): readonly string[] {
  return encodeSnapshot(state).map((part) => JSON.stringify(part));
}

describe("decodeNewestSnapshot", () => {
  const OLD = encodeParts(createState(3));
  const NEW = encodeParts(createState(2_000));

  function assertDecodedOffset(
    values: readonly string[],
    expected: number | undefined,
  ) {
    assert.equal(decodeNewestSnapshot(values)?.offset, expected);
  }

  it("returns the newest snapshot that is complete and intact", () => {
    assert.ok(NEW.length > 1);
    assertDecodedOffset([], undefined);
    assertDecodedOffset([...OLD, ...NEW], 1_999);
    assertDecodedOffset([...NEW.toReversed(), ...OLD], 1_999);
    assertDecodedOffset([...OLD, ...NEW.slice(1)], 2);
    assertDecodedOffset([
      ...OLD,
      ...NEW.slice(1),
      (NEW[0] ?? "").replace("0", "1"),
    ], 2);
    assertDecodedOffset([...OLD, ...NEW.slice(0, -1), "{"], 2);
    assertDecodedOffset(
      OLD.map((value) => value.replace('"format":1', '"format":2')),
      undefined,
    );
    assertDecodedOffset(
      OLD.map((value) => value.replace('"offset":2', '"offset":9')),
      undefined,
    );
  });

  it("restores the encoded state", () => {
    const state = createState(5);
    const decoded = decodeNewestSnapshot(encodeParts(state));
    assert.deepEqual(decoded, state);
    assert.equal(
      hashConfiguration(decoded ?? EMPTY_CONFIGURATION),
      hashConfiguration(state),
    );
  });
});

describe("shouldWriteSnapshot", () => {
  function assertDue(
    input: Partial<Parameters<typeof shouldWriteSnapshot>[0]>,
    expected: boolean,
  ): void {
    const actual = shouldWriteSnapshot({
      appliedOffset: 99,
      oldestLogOffset: 0,
      snapshotOffset: 90,
      snapshotAgeMs: 0,
      retentionMs: 600_000,
      ...input,
    });
    assert.equal(actual, expected, JSON.stringify(input));
  }

  it("returns true by number of records, by age, and without a change", () => {
    assertDue({}, false);
    assertDue({ snapshotAgeMs: 100_000 }, true);
    assertDue({ snapshotAgeMs: 100_000, snapshotOffset: 99 }, true);
    assertDue({ snapshotAgeMs: 99_999, snapshotOffset: 99 }, false);
    assertDue({ snapshotAgeMs: Infinity, snapshotOffset: -1 }, true);
    assertDue(
      { appliedOffset: -1, snapshotOffset: -1, snapshotAgeMs: Infinity },
      false,
    );
    assertDue({ appliedOffset: 400 }, true);
    assertDue({ oldestLogOffset: 80 }, true);
    assertDue({ oldestLogOffset: 40 }, false);
    assertDue({ snapshotOffset: 120, snapshotAgeMs: Infinity }, false);
  });
});
