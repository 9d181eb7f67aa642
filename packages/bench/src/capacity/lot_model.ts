/**
 * Models a lot owner whose log and trainer respond immediately, in virtual
 * time.
 * @module
 */
import {
  type DeliveryRecord,
  formatDeliveryRecord,
  parseDeliveryRecord,
} from "@briarhill/rollout/delivery/delivery_record";
import { LotOwner } from "@briarhill/rollout/delivery/lot_owner";
import type {
  OwnerCommand,
  OwnerContext,
} from "@briarhill/rollout/delivery/owner_command";
import type { Lot } from "@briarhill/rollout/lots/lot";
import type { SampleStructure } from "@briarhill/rollout/samples/sample_structure";
import { StalenessRule } from "@briarhill/rollout/staleness/staleness_rule";
import { VersionHistory } from "@briarhill/rollout/staleness/version_history";

const PULL_LIMIT = 64;
const RETAIN_MS = 900_000;

/** A lot owner whose log and trainer respond immediately. */
export class LotModel {
  readonly lot: Lot;
  readonly #owner: LotOwner;
  readonly #history = new VersionHistory([{ version: 1, announcedAtMs: 0 }]);
  /** Records that are appended but not yet read. */
  #unread: string[] = [];
  #nowMs = 0;
  #pulls = 0;
  #appendedBytes = 0;

  constructor(lot: Lot) {
    this.lot = lot;
    this.#owner = new LotOwner({
      lot,
      self: { host: "self", incarnation: 1 },
      rule: new StalenessRule({ maxVersionsBehind: 4, maxAgeMs: 900_000 }),
      keepers: ["other-1", "other-2"],
      retainMs: RETAIN_MS,
    });
    this.#apply(this.#owner.handleTick(this.#getContext()));
    this.#pull(0);
  }

  /**
   * Handles a finished sample, applies all resulting commands and returns the
   * number of appended bytes.
   *
   * @param sample - The finished sample.
   * @param afterMs - The time since the previous sample.
   */
  handleSample(sample: SampleStructure, afterMs: number): number {
    const before = this.#appendedBytes;
    this.#nowMs += afterMs;
    this.#apply(this.#owner.handleTick(this.#getContext()));
    this.#apply(this.#owner.handleFinished(sample, this.#getContext()));
    return this.#appendedBytes - before;
  }

  /** Returns the number of settled positions. */
  countSettled(): number {
    return this.#owner.ledger.countSettled();
  }

  #pull(cursor: number): void {
    const pull = { id: `${this.#pulls++}`, cursor, limit: PULL_LIMIT };
    this.#apply(this.#owner.handlePull(pull, this.#getContext()));
  }

  #getContext(): OwnerContext {
    return {
      nowMs: this.#nowMs,
      wallMs: this.#nowMs,
      history: this.#history,
    };
  }

  #apply(commands: readonly OwnerCommand[]): void {
    for (const command of commands) {
      if (command.kind === "append") {
        this.#append(command.record);
      } else if (command.kind === "sync") {
        this.#readUnread(command.from);
      } else if (command.kind === "answer" && !command.answer.isComplete) {
        this.#pull(command.answer.nextCursor);
      }
    }
  }

  #append(record: DeliveryRecord): void {
    const value = formatDeliveryRecord(record);
    this.#appendedBytes += value.length;
    this.#unread.push(value);
    this.#apply(this.#owner.handleLogEnd("maybe-done", this.#getContext()));
  }

  #readUnread(from: number): void {
    const records = this.#unread.map((value, index) => ({
      offset: from + index,
      record: parseDeliveryRecord(value),
    }));
    this.#unread = [];
    const page = { records, first: 0, next: from + records.length };
    this.#apply(this.#owner.handleSynced(page, this.#getContext()));
  }
}
