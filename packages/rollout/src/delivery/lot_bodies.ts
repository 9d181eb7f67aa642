/**
 * Holds the finished samples (bodies) of a lot in memory and tracks the slots
 * that still need one. Only a body whose hash is settled may be delivered.
 * @module
 */
import {
  hashSample,
  type SampleStructure,
} from "../samples/sample_structure.ts";
import type {
  StalenessContext,
  StalenessRule,
} from "../staleness/staleness_rule.ts";
import type { DeliveryLedger } from "./delivery_ledger.ts";
import type { SettledSample } from "./delivery_record.ts";
import type { OwnerCommand } from "./owner_command.ts";

const STALE_CHECK_INTERVAL_MS = 500;

/** The finished samples of a lot, and the slots that are to be generated. */
export class LotBodies {
  readonly #ledger: DeliveryLedger;
  readonly #rule: StalenessRule;
  readonly #bodies = new Map<number, SampleStructure>();
  readonly #hashes = new Map<number, string>();
  readonly #wantedAttempts = new Map<number, number>();
  readonly #unsettled = new Set<number>();
  /** The attempts of removed bodies, as their settle records may follow. */
  readonly #usedAttempts = new Map<number, number>();

  #checkedAtMs = -Infinity;
  #checkedVersion: number | undefined;
  #checkedCursor = Infinity;

  constructor(ledger: DeliveryLedger, rule: StalenessRule) {
    this.#ledger = ledger;
    this.#rule = rule;
  }

  /** Returns the number of bodies in memory. */
  countHeld(): number {
    return this.#bodies.size;
  }

  /** Returns the number of bodies whose hash is not settled. */
  countUnsettled(): number {
    return this.#unsettled.size;
  }

  /** Returns the number of slots that are to be generated. */
  countWanted(): number {
    return this.#wantedAttempts.size;
  }

  /**
   * Adds a finished sample. Returns false if the slot does not need it, so that
   * the first of two attempts wins.
   *
   * @param sample - The finished sample.
   */
  addSample(sample: SampleStructure): boolean {
    const attempt = this.#wantedAttempts.get(sample.slot);
    if (attempt === undefined || sample.attempt < attempt) {
      return false;
    }
    this.#wantedAttempts.delete(sample.slot);
    this.#bodies.set(sample.slot, sample);
    this.#hashes.set(sample.slot, hashSample(sample));
    this.#unsettled.add(sample.slot);
    return true;
  }

  /** Lists all bodies. */
  listSamples(): readonly SampleStructure[] {
    return [...this.#bodies.values()];
  }

  /**
   * Adds samples that the previous owner handed over. For a settled slot only
   * the settled sample is added.
   *
   * @param samples - The finished samples.
   */
  addHandedOver(samples: readonly SampleStructure[]): void {
    for (const sample of samples) {
      const hash = hashSample(sample);
      const settled = this.#ledger.getSettledBySlot(sample.slot);
      if (settled === undefined || settled.hash === hash) {
        this.#bodies.set(sample.slot, sample);
        this.#hashes.set(sample.slot, hash);
        this.#unsettled.add(sample.slot);
      }
    }
    this.updateUnsettled();
  }

  /**
   * Requests the generation of slots, except those that are already requested
   * or have a body.
   *
   * @param slots - The slots to generate.
   */
  generateSlots(slots: readonly number[]): readonly OwnerCommand[] {
    const newSlots = slots
      .filter((slot) =>
        !this.#wantedAttempts.has(slot) && !this.#bodies.has(slot)
      )
      .map((slot) => {
        const settled = this.#ledger.getSettledBySlot(slot);
        const used = this.#usedAttempts.get(slot) ?? 0;
        const attempt = 1 + Math.max(settled?.attempt ?? 0, used);
        return { slot, attempt, isUrgent: settled !== undefined };
      });
    newSlots.forEach(({ slot, attempt }) =>
      this.#wantedAttempts.set(slot, attempt)
    );
    return newSlots.length === 0 ? [] : [{ kind: "generate", slots: newSlots }];
  }

  /**
   * Returns the body that is settled at a position, or undefined if this host
   * doesn't hold it, its hash differs or it exceeds the staleness bound.
   *
   * @param settled - The sample that the ledger records at the position.
   * @param context - The announced versions and the time.
   */
  getDeliverable(
    settled: SettledSample,
    context: StalenessContext,
  ): SampleStructure | undefined {
    const sample = this.#bodies.get(settled.slot);
    const isSettled = this.#hashes.get(settled.slot) === settled.hash;
    return sample !== undefined && isSettled &&
        this.#rule.isWithinBound(sample.spans, context)
      ? sample
      : undefined;
  }

  /** Removes the slots that have been settled from the unsettled ones. */
  updateUnsettled(): void {
    for (const slot of this.#unsettled) {
      if (
        this.#ledger.getSettledBySlot(slot)?.hash === this.#hashes.get(slot)
      ) {
        this.#unsettled.delete(slot);
      }
    }
  }

  /** Lists the samples for the next settle record, each with its position. */
  listUnsettled(): readonly SettledSample[] {
    let nextPosition = this.#ledger.countSettled();
    return [...this.#unsettled].map((slot) => ({
      position: this.#ledger.getSettledBySlot(slot)?.position ?? nextPosition++,
      slot,
      attempt: this.#bodies.get(slot)?.attempt ?? 0,
      hash: this.#hashes.get(slot) ?? "",
    }));
  }

  /**
   * Removes bodies that exceed the staleness bound and requests the generation
   * of their slots. Bodies that the trainer already holds are retained. All
   * bodies are checked only if the result may have changed; a delivery checks
   * its own samples in any case.
   *
   * @param context - The announced versions and the time.
   * @param cursor - The first position that the trainer does not hold.
   */
  generateStale(
    context: StalenessContext,
    cursor: number,
  ): readonly OwnerCommand[] {
    if (!this.#shouldCheck(context, cursor)) {
      return [];
    }
    const stale: number[] = [];
    for (const [slot, sample] of this.#bodies) {
      const position = this.#ledger.getSettledBySlot(slot)?.position ??
        Infinity;
      if (
        position >= cursor && !this.#rule.isWithinBound(sample.spans, context)
      ) {
        stale.push(slot);
      }
    }
    stale.forEach((slot) => this.#removeSlot(slot));
    return this.generateSlots(stale);
  }

  /**
   * Removes bodies that the trainer holds, lowest positions first, until a
   * given number of them remains.
   *
   * @param cursor - The first position that the trainer does not hold.
   * @param retained - The number to retain for a trainer that restarts.
   */
  pruneAcknowledged(cursor: number, retained: number): void {
    for (let position = cursor - retained - 1; position >= 0; position--) {
      const settled = this.#ledger.getSettled(position);
      if (settled === undefined || !this.#bodies.has(settled.slot)) {
        return;
      }
      this.#removeSlot(settled.slot);
    }
  }

  #shouldCheck(context: StalenessContext, cursor: number): boolean {
    const newest = context.history.getNewest();
    const isDue = newest !== this.#checkedVersion ||
      cursor < this.#checkedCursor ||
      context.wallMs >= this.#checkedAtMs + STALE_CHECK_INTERVAL_MS;
    if (isDue) {
      this.#checkedVersion = newest;
      this.#checkedCursor = cursor;
      this.#checkedAtMs = context.wallMs;
    }
    return isDue;
  }

  #removeSlot(slot: number): void {
    this.#usedAttempts.set(slot, this.#bodies.get(slot)?.attempt ?? 0);
    this.#bodies.delete(slot);
    this.#hashes.delete(slot);
    this.#unsettled.delete(slot);
  }
}
