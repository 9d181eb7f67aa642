/**
 * Table of all known hosts. Failed hosts are retained as tombstones for a time,
 * so that stale records cannot revive them.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import {
  hashRecord,
  isSameRecord,
  type MemberRecord,
  mergeRecords,
} from "./member_record.ts";

/** The result of merging a record into the table. */
export interface MergeResult {
  /** Whether the table changed. */
  readonly changed: boolean;
  /** Whether the table holds newer information than the record. */
  readonly outdated: boolean;
}

interface Entry {
  readonly record: MemberRecord;
  /** When the current status was set, in monotonic time. */
  readonly sinceMs: number;
}

/** Holds the newest record of each known host. */
export class MemberTable {
  readonly #entries = new Map<HostId, Entry>();
  #digest = 0;
  #version = 0;

  /** Returns a number that increases with each change. */
  get version(): number {
    return this.#version;
  }

  /** Returns a hash over all hosts that have not failed. */
  get digest(): number {
    return this.#digest >>> 0;
  }

  /**
   * Returns the record of a host.
   *
   * @param host - The host to look up.
   */
  getRecord(host: HostId): MemberRecord | undefined {
    return this.#entries.get(host)?.record;
  }

  /** Returns all records, including those of failed hosts. */
  listRecords(): readonly MemberRecord[] {
    return [...this.#entries.values()].map((entry) => entry.record);
  }

  /** Returns the records of all hosts that have not failed. */
  listRunning(): readonly MemberRecord[] {
    return this.listRecords().filter(({ status }) => status !== "failed");
  }

  /** Returns the records of hosts that failed without having announced that they leave. */
  listLost(): readonly MemberRecord[] {
    return this.listRecords()
      .filter(({ status, leaving }) => status === "failed" && !leaving);
  }

  /** Returns the records of running and lost hosts, which a complete table carries. */
  listShared(): readonly MemberRecord[] {
    return this.listRecords()
      .filter(({ status, leaving }) => status !== "failed" || !leaving);
  }

  /**
   * Merges a record into the table.
   *
   * @param record - The record, received from a peer or decided locally.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  mergeRecord(record: MemberRecord, nowMs: number): MergeResult {
    const known = this.#entries.get(record.host);
    if (known === undefined && record.status === "failed") {
      // A merged tombstone would restart its retention period, so that it would
      // circulate among the hosts forever.
      return { changed: false, outdated: false };
    }
    const merged = known === undefined
      ? record
      : mergeRecords(known.record, record);
    const changed = known === undefined || !isSameRecord(merged, known.record);
    if (changed) {
      const isSameStatus = known?.record.status === merged.status &&
        known.record.refutation === merged.refutation &&
        known.record.incarnation === merged.incarnation;
      this.#set(merged, isSameStatus ? known.sinceMs : nowMs);
    }
    return { changed, outdated: !isSameRecord(merged, record) };
  }

  /**
   * Returns the hosts that have been suspected since a given time or longer.
   *
   * @param beforeMs - The inclusive upper bound, in monotonic time.
   */
  listExpiredSuspects(beforeMs: number): readonly MemberRecord[] {
    return [...this.#entries.values()]
      .filter(({ record, sinceMs }) =>
        record.status === "suspect" && sinceMs <= beforeMs
      )
      .map((entry) => entry.record);
  }

  /**
   * Moves the start of all suspicions forward, after a pause of this process.
   *
   * @param byMs - The duration of the pause.
   */
  advanceSuspicions(byMs: number): void {
    for (const [host, { record, sinceMs }] of this.#entries) {
      if (record.status === "suspect") {
        this.#entries.set(host, { record, sinceMs: sinceMs + byMs });
      }
    }
  }

  /**
   * Removes the hosts that failed before a given time.
   *
   * @param beforeMs - The exclusive upper bound, in monotonic time.
   */
  pruneFailed(beforeMs: number): void {
    for (const [host, { record, sinceMs }] of this.#entries) {
      if (record.status === "failed" && sinceMs < beforeMs) {
        this.#entries.delete(host);
        this.#version++;
      }
    }
  }

  #set(record: MemberRecord, sinceMs: number): void {
    const old = this.#entries.get(record.host)?.record;
    for (const changed of [old, record]) {
      if (changed !== undefined && changed.status !== "failed") {
        this.#digest ^= hashRecord(changed);
      }
    }
    this.#entries.set(record.host, { record, sinceMs });
    this.#version++;
  }
}
