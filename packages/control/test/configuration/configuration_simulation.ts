/**
 * Simulates several hosts that follow one configuration log, with faults.
 * @module
 */
import {
  type ConfigurationChange,
  type ConfigurationRecord,
  encodeConfigurationRecord,
  getContractSubject,
} from "../../src/configuration/configuration_record.ts";
import {
  applyPage,
  type ReadRecord,
  type RecordVerdict,
} from "../../src/configuration/configuration_fold.ts";
import {
  type ConfigurationState,
  EMPTY_CONFIGURATION,
  getRevision,
} from "../../src/configuration/configuration_state.ts";
import { RecordTail } from "../../src/configuration/record_tail.ts";
import {
  decodeNewestSnapshot,
  encodeSnapshot,
  hashConfiguration,
} from "../../src/snapshots/snapshot.ts";

export function createSections(customer: string, share: number) {
  return {
    contract: { customer },
    keys: { sha256: [] },
    "engine_time": {
      share: String(share),
      live_floor: "0.5",
      lend: "yes",
      take_back_ms: "2000",
    },
  };
}

export function createRecord(
  change: ConfigurationChange,
  sequence = 0,
): ConfigurationRecord {
  return { writer: "w", session: "s", sequence, ...change };
}

interface SimulatedHost {
  readonly state: ConfigurationState;
  readonly tail: RecordTail;
}

export class ConfigurationSimulation {
  readonly hosts: SimulatedHost[];
  readonly records: ReadRecord[] = [];
  readonly snapshots: string[] = [];
  /** The hash of the state after each offset, for a reader without faults. */
  readonly #reference: string[] = [];
  #expected = EMPTY_CONFIGURATION;
  /** The first offset that the log still holds. */
  first = 0;
  verdicts: RecordVerdict[] = [];

  constructor(hosts: number) {
    this.hosts = Array.from({ length: hosts }, () => ({
      state: EMPTY_CONFIGURATION,
      tail: RecordTail.create(),
    }));
  }

  getHost(index: number): SimulatedHost {
    return this.hosts[index] ??
      { state: EMPTY_CONFIGURATION, tail: RecordTail.create() };
  }

  append(record: ConfigurationRecord): RecordVerdict | undefined {
    const offset = this.records.length;
    const value = encodeConfigurationRecord(record);
    const read = { offset, timeMs: offset, value };
    this.records.push(read);
    const { state, verdicts } = applyPage(this.#expected, {
      records: [read],
      first: 0,
    });
    this.#expected = state;
    this.#reference.push(hashConfiguration(state));
    this.verdicts.push(...verdicts);
    return verdicts[0];
  }

  getRevision(customer: string): number {
    return getRevision(this.#expected, getContractSubject(customer));
  }

  /** Sets a host's state; rejects one with a lower offset. */
  setState(index: number, state: ConfigurationState, tail: RecordTail): void {
    if (state.offset < this.getHost(index).state.offset) {
      throw new RangeError(
        `state of host ${index} goes back to offset ${state.offset}`,
      );
    }
    this.hosts[index] = { state, tail };
  }

  read(index: number, range: { behind: number; limit: number }): boolean {
    const { state, tail } = this.getHost(index);
    const end = Math.max(this.first, this.records.length - range.behind);
    // A page may start before the offset that was requested.
    const from = Math.max(this.first, state.offset - 1);
    const records = this.records.slice(from, end).slice(0, range.limit);
    const result = applyPage(state, { records, first: this.first });
    const applied = result.gap ? [] : records;
    this.setState(index, result.state, tail.add(applied));
    return result.gap;
  }

  fetchFromPeer(index: number, peer: number): void {
    const { state, tail } = this.getHost(index);
    const source = this.getHost(peer);
    const records = source.tail.getRecordsAfter(state.offset);
    if (records !== undefined) {
      const page = { records, first: state.offset + 1 };
      const result = applyPage(state, page);
      this.setState(index, result.state, tail.add(records));
      return;
    }
    const parts = encodeSnapshot(source.state).map((part) =>
      JSON.stringify(part)
    );
    this.applySnapshot(index, decodeNewestSnapshot(parts));
  }

  applySnapshot(index: number, state: ConfigurationState | undefined): void {
    if (
      state !== undefined && state.offset > this.getHost(index).state.offset
    ) {
      this.setState(index, state, RecordTail.create());
    }
  }

  writeSnapshot(index: number): void {
    const parts = encodeSnapshot(this.getHost(index).state);
    this.snapshots.push(...parts.map((part) => JSON.stringify(part)));
  }

  corruptSnapshot(): void {
    const last = this.snapshots.pop();
    if (last !== undefined) {
      this.snapshots.push(last.replace(/0\.\d/, "0.9").replace("held", "x"));
    }
  }

  loadSnapshot(index: number): void {
    this.applySnapshot(index, decodeNewestSnapshot(this.snapshots));
  }

  restart(index: number): void {
    this.hosts[index] = {
      state: EMPTY_CONFIGURATION,
      tail: RecordTail.create(),
    };
    this.loadSnapshot(index);
  }

  /** Returns whether a host's state matches its prefix of the log. */
  isConsistentWithLog(index: number): boolean {
    const { state } = this.getHost(index);
    return state.offset === -1 ||
      hashConfiguration(state) === this.#reference[state.offset];
  }

  getShareSum(): number {
    let sum = 0;
    for (const { value } of this.#expected.subjects.values()) {
      sum += value.kind === "contract" ? value.contract.engineTime.share : 0;
    }
    return sum;
  }
}
