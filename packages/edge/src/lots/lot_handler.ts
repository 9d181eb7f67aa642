/**
 * Admits lots and answers trainers' requests about them, on any host.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { LotId } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import { canUseLot } from "@briarhill/rollout/ledger/lot_access";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import { encodeEnd, encodeLot } from "@briarhill/rollout/ledger/lot_record";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import { encodeOpenLot } from "@briarhill/rollout/ledger/open_lots";
import { OPEN_LOT_TOPIC } from "@briarhill/platform/names/topics";
import type { AppendOutcome, LotAppender } from "./lot_appender.ts";
import type { LotPartition, LotPartitions } from "./lot_partitions.ts";

/** Maximum age of the last read of a partition for reporting a lot as missing, in milliseconds. */
const MISSING_MAX_AGE_MS = 50;
/** Maximum age of the last read for answering a forwarded call, in milliseconds; below the platform's bound (1 s) after which every host must show what another host has shown. */
export const FORWARDED_MAX_AGE_MS = 950;

/** Options of a `LotHandler`. */
export interface LotHandlerOptions {
  readonly clock: Clock;
  readonly partitions: LotPartitions;
  readonly appender: LotAppender;
  readonly maxRecordBytes: number;
}

/** A lot that a caller refers to. */
export interface LotLookup {
  readonly id: LotId;
  /** The name of the caller's workspace; undefined if requests need no key. */
  readonly workspace: string | undefined;
}

/** A lot, or the reason why it can't be returned. */
export type LotLookupResult =
  | { readonly kind: "found"; readonly lot: LedgerLot }
  | { readonly kind: "missing" }
  /** The shared log can't be read, so it is unknown whether the lot exists. */
  | { readonly kind: "uncertain" };

/** Admits, closes and finds lots. */
export class LotHandler {
  readonly #options: LotHandlerOptions;

  constructor(options: LotHandlerOptions) {
    this.#options = options;
  }

  /**
   * Admits a lot. The lot is durable once this resolves with "appended".
   *
   * @param lot - The lot.
   * @param deadlineMs - The deadline for the last append, on the monotonic clock.
   */
  async admitLot(lot: LotRequest, deadlineMs: number): Promise<AppendOutcome> {
    const { partitions, appender, maxRecordBytes } = this.#options;
    const logPartition = partitions.getPartition(lot.id);
    // A lot that is appended twice is applied once, so no read is needed to rule out a duplicate.
    const followed = partitions.getFollowed(logPartition.partition);
    if (followed?.view.getLot(lot.id) === undefined) {
      const outcome = await appender.append(
        logPartition,
        (nonce) => encodeLot(lot, { nonce, maxRecordBytes }),
        deadlineMs,
      );
      if (outcome !== "appended") {
        return outcome;
      }
    }
    return await this.#announceLot(lot, logPartition.partition, deadlineMs);
  }

  /** A lot that is stored but not announced may still be announced by a repeated request, so any failure is reported as "unknown". */
  async #announceLot(
    lot: LotRequest,
    partition: number,
    deadlineMs: number,
  ): Promise<AppendOutcome> {
    const { partitions, appender } = this.#options;
    const outcome = await appender.append(
      { topic: OPEN_LOT_TOPIC, partition: partitions.getShard(lot) },
      () => [encodeOpenLot({ lot: lot.id, partition })],
      deadlineMs,
    );
    return outcome === "appended" ? "appended" : "unknown";
  }

  /**
   * Closes a lot; resolves with "missing" if its caller may use no lot of that id.
   *
   * @param lookup - The lot's id and its caller's workspace.
   * @param deadlineMs - The deadline for the last append, on the monotonic clock.
   */
  async closeLot(
    lookup: LotLookup,
    deadlineMs: number,
  ): Promise<AppendOutcome | "missing"> {
    const { id, workspace } = lookup;
    const found = await this.findLot(lookup);
    if (found.kind === "missing") {
      return "missing";
    }
    if (found.kind === "uncertain" && workspace !== undefined) {
      // The lot may belong to another workspace.
      return "not-run";
    }
    if (found.kind === "found" && found.lot.hasEnded) {
      return "appended";
    }
    const { partitions, appender } = this.#options;
    return await appender.append(
      partitions.getPartition(id),
      (nonce) => [encodeEnd({ lot: id, nonce })],
      deadlineMs,
    );
  }

  /**
   * Returns a lot that its caller may use. If the lot is unknown or the last read is
   * too old, reads the partition to its end first.
   *
   * @param lookup - The lot's id and its caller's workspace.
   * @param maxAgeMs - Maximum age of the last read of the partition for returning
   * a known lot, in milliseconds.
   */
  async findLot(
    { id, workspace }: LotLookup,
    maxAgeMs = Infinity,
  ): Promise<LotLookupResult> {
    const { partitions } = this.#options;
    const partition = partitions.follow(partitions.getPartition(id).partition);
    const known = partition.view.getLot(id);
    const ageMs = partition.getAgeMs();
    if (known !== undefined && ageMs <= maxAgeMs) {
      return createResult(known, workspace);
    }
    if (ageMs > MISSING_MAX_AGE_MS) {
      try {
        await partition.readToEnd();
      } catch (error) {
        if (error instanceof PortError) {
          return { kind: "uncertain" };
        }
        throw error;
      }
    }
    return createResult(partition.view.getLot(id), workspace);
  }

  /**
   * Waits until a lot has a result at a position or is closed, or the timeout has passed.
   *
   * @param lot - The lot.
   * @param position - The position in the lot's results.
   * @param waitMs - The timeout, in milliseconds.
   */
  async waitResult(
    lot: LedgerLot,
    position: number,
    waitMs: number,
  ): Promise<void> {
    const { clock, partitions } = this.#options;
    const partition: LotPartition = partitions.follow(
      partitions.getPartition(lot.id).partition,
    );
    const deadlineMs = clock.getMonotonicMs() + waitMs;
    while (lot.results.length <= position && lot.isOpen) {
      const leftMs = deadlineMs - clock.getMonotonicMs();
      if (leftMs <= 0) {
        return;
      }
      const stopped = new AbortController();
      await Promise.race([
        partition.changes.wait(),
        clock.sleep(leftMs, stopped.signal),
      ]);
      stopped.abort();
    }
  }
}

function createResult(
  lot: LedgerLot | undefined,
  workspace: string | undefined,
): LotLookupResult {
  return lot === undefined || !canUseLot(lot.request, workspace)
    ? { kind: "missing" }
    : { kind: "found", lot };
}
