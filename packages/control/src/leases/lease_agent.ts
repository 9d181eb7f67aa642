/**
 * Manages all leases of one host: applies the records of the lease stream, and
 * returns the records to append. Deterministic: does no I/O, and takes the time
 * as an argument of each call.
 * @module
 */
import type { Outcome } from "@briarhill/common/ids/ids";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { ReadPage } from "../configuration/configuration_fold.ts";
import type { LeaseEvent } from "./lease_machine.ts";
import { LeaseMachines } from "./lease_machines.ts";
import type { LeaseStatus } from "./lease_candidacy.ts";
import {
  decodeLeaseRecord,
  encodeLeaseRecord,
  type LeaseAppend,
  type LeaseClaim,
  type LeaseRecord,
} from "./lease_record.ts";
import { type HostIncarnation, isSameIncarnation } from "./lease_table.ts";
import { isTermExpired, type LeaseTime } from "./lease_time.ts";
import { LeaseView } from "./lease_view.ts";
import { SentRecords } from "./sent_records.ts";

/**
 * Upper bound of the random delay before a claim. It prevents simultaneous
 * claims, and the earliest of many claimants still claims soon.
 */
const MAX_CLAIM_JITTER_MS = 3_000;
/** The bound of the delay doubles with each failed append, up to this often. */
const MAX_JITTER_DOUBLINGS = 4;
/** No claim is made when the last page of the stream is older than this. */
const MAX_VIEW_AGE_MS = 8_000;

/** The leases of one host. */
export class LeaseAgent {
  readonly #self: HostIncarnation;
  readonly #random: SeededRandom;
  readonly #machines = new LeaseMachines();
  readonly #sent = new SentRecords();
  readonly #pendingClaims = new Map<string, LeaseClaim>();
  readonly #view: LeaseView;
  #now: LeaseTime = { monotonicMs: 0, wallMs: 0 };
  #sequence = 0;
  #failedAppends = 0;

  constructor(self: HostIncarnation, random: SeededRandom) {
    this.#self = self;
    this.#random = random;
    this.#view = new LeaseView({
      onReset: () =>
        this.#machines.listLeases().forEach((lease) => this.#sendEntry(lease)),
      onRecord: (record) => this.#handleRecord(record),
    });
  }

  /** Returns the next offset to read; undefined before the first page. */
  getNextOffset(): number | undefined {
    return this.#view.getNextOffset();
  }

  /**
   * Starts to compete for a lease.
   *
   * @param lease - The lease.
   * @param now - The host's time.
   */
  handleSeek(lease: string, now: LeaseTime): void {
    this.#machines.addLease(lease);
    this.#send(lease, { type: "seek", now, self: this.#self });
    this.#sendEntry(lease, now);
  }

  /**
   * Releases a lease.
   *
   * @param lease - The lease.
   * @param now - The host's time.
   */
  handleRelease(lease: string, now: LeaseTime): void {
    this.#send(lease, { type: "release", now });
  }

  /**
   * Stops competing for a lease that this host neither holds nor claims.
   *
   * @param lease - The lease.
   */
  handleStopSeeking(lease: string): void {
    if (this.#machines.getMachine(lease)?.value === "following") {
      this.#machines.removeLease(lease);
    }
    // The stream is no longer read; the next page starts a new view of it.
    if (this.#machines.isIdle()) {
      this.#view.clear();
    }
  }

  /**
   * Returns the state of a lease on this host.
   *
   * @param lease - The lease.
   */
  getStatus(lease: string): LeaseStatus {
    return {
      state: this.#machines.getMachine(lease)?.value ?? "unsought",
      confirmedAtMs: this.#view.getConfirmedAtMs(lease),
    };
  }

  /**
   * Applies a page of the stream; a gap in the offsets resets the view.
   *
   * @param page - The page, with the end offset of the stream.
   * @param now - The host's time after the page arrived.
   */
  handlePage(page: ReadPage & { readonly end: number }, now: LeaseTime): void {
    this.#now = now;
    // Ignores a page requested before the host stopped competing for leases.
    if (!this.#machines.isIdle()) {
      this.#view.applyPage(page, now.monotonicMs);
    }
  }

  /**
   * Advances all leases; returns the record to append, if there is one.
   *
   * @param now - The host's time, taken right before the append is sent.
   */
  handleTick(now: LeaseTime): LeaseAppend | undefined {
    // Without a table the last record, which a claim has to name, is unknown.
    if (!this.#view.hasTable()) {
      return undefined;
    }
    // While the log is unreachable all hosts would claim, and all claims fail.
    const isViewStale = this.#view.computeAgeMs(now.monotonicMs) >
      MAX_VIEW_AGE_MS;
    const maxJitterMs = MAX_CLAIM_JITTER_MS *
      2 ** Math.min(this.#failedAppends, MAX_JITTER_DOUBLINGS);
    for (const lease of this.#machines.listLeases()) {
      const { state } = this.getStatus(lease);
      if (state !== "following" || !isViewStale) {
        const jitterMs = this.#random.getFloat() * maxJitterMs;
        this.#send(lease, { type: "tick", now, jitterMs });
      }
    }
    if (this.#pendingClaims.size > 0) {
      this.#machines.listLeases()
        .forEach((lease) => this.#send(lease, { type: "batch", now }));
    }
    return this.#buildAppend(now);
  }

  /**
   * Handles a failed append. If it may have taken effect after all, that is
   * resolved by reading the stream further.
   *
   * @param append - The record that was to be appended.
   * @param failure - The outcome of the append and the host's time.
   */
  handleFailure(
    append: LeaseAppend,
    failure: { readonly outcome: Outcome; readonly now: LeaseTime },
  ): void {
    this.#failedAppends += 1;
    if (failure.outcome !== "not-run") {
      return;
    }
    this.#sent.remove(append.sequence);
    for (
      const { lease, kind } of decodeLeaseRecord(append.value)?.claims ?? []
    ) {
      if (kind === "claim") {
        this.#send(lease, { type: "refused", now: failure.now });
      }
    }
  }

  /**
   * Returns whether this host holds a lease that was never held before.
   *
   * @param lease - The lease.
   * @param now - The host's time when the result is used.
   */
  isFirstHolder(lease: string, now: LeaseTime): boolean {
    return this.getFencing(lease, now) !== undefined &&
      this.#view.isFirstHolder(lease);
  }

  /** Returns the state of each lease on this host. */
  listStates(): readonly LeaseStatus["state"][] {
    return this.#machines.listStates();
  }

  /**
   * Returns the fencing number of a lease, or undefined if not held here.
   *
   * @param lease - The lease.
   * @param now - The host's time when the number is used.
   */
  getFencing(lease: string, now: LeaseTime): number | undefined {
    const machine = this.#machines.getMachine(lease);
    if (machine?.value !== "holding") {
      return undefined;
    }
    const { sentAt, entry } = machine.context;
    return sentAt === undefined || isTermExpired(sentAt, now)
      ? undefined
      : entry?.holder?.fencing;
  }

  #handleRecord(record: LeaseRecord): void {
    for (const { lease } of record.claims) {
      this.#sendEntry(lease);
    }
    if (isSameIncarnation(record, this.#self)) {
      this.#failedAppends = 0;
      this.#sent.remove(record.sequence);
    }
  }

  #sendEntry(lease: string, now: LeaseTime = this.#now): void {
    const entry = this.#view.findEntry(lease);
    const isLocal = isSameIncarnation(entry?.holder, this.#self);
    const sentAt = isLocal
      ? this.#sent.get(entry?.holder?.sequence)
      : undefined;
    this.#send(lease, { type: "entry", now, entry, sentAt });
  }

  #send(lease: string, event: LeaseEvent): void {
    const command = this.#machines.send(lease, event);
    if (command !== undefined) {
      this.#pendingClaims.set(lease, this.#view.buildClaim(lease, command));
    }
  }

  #buildAppend(now: LeaseTime): LeaseAppend | undefined {
    if (this.#pendingClaims.size === 0) {
      return undefined;
    }
    const { host, epoch } = this.#self;
    const sequence = this.#sequence++;
    const claims = [...this.#pendingClaims.values()];
    this.#pendingClaims.clear();
    this.#sent.add(sequence, now);
    const value = encodeLeaseRecord({ host, epoch, sequence, claims });
    return { sequence, value };
  }
}
