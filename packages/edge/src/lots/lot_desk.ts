/**
 * Takes lots and answers what trainers ask about them, at any host.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { LotId } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import { encodeEnd, encodeLot } from "@briarhill/rollout/ledger/lot_record";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import { encodeOpenLot } from "@briarhill/rollout/ledger/open_lots";
import { LOT_WORK_TOPIC } from "@briarhill/platform/names/topics";
import type { AppendOutcome, LotAppender } from "./lot_appender.ts";
import type { LotPartition, LotPartitions } from "./lot_partitions.ts";

/** How fresh a partition has to be to say that a lot doesn't exist, in milliseconds. */
const FRESH_MS = 50;
/** How fresh it has to be to answer for another host, in milliseconds: below the bound of the platform (1 s) after which no host may lack what another has shown. */
export const FORWARDED_FRESH_MS = 950;

/** What a desk needs. */
export interface LotDeskOptions {
  readonly clock: Clock;
  readonly partitions: LotPartitions;
  readonly appender: LotAppender;
  readonly maxRecordBytes: number;
}

/** A lot, or why there is none to show. */
export type LotAnswer =
  | { readonly kind: "found"; readonly lot: LedgerLot }
  | { readonly kind: "missing" }
  /** The shared log can't be read, so nothing is certain. */
  | { readonly kind: "uncertain" };

/** Takes lots and answers what trainers ask about them. */
export class LotDesk {
  readonly #options: LotDeskOptions;

  constructor(options: LotDeskOptions) {
    this.#options = options;
  }

  /**
   * Accepts a lot: it is kept once this resolves with "appended".
   *
   * @param lot - The lot.
   * @param deadlineMs - When to give up, on the monotonic clock.
   */
  async admitLot(lot: LotRequest, deadlineMs: number): Promise<AppendOutcome> {
    const { partitions, appender, maxRecordBytes } = this.#options;
    const place = partitions.getPlace(lot.id);
    // A lot that is appended twice counts once, so that nothing is read for it.
    const followed = partitions.getFollowed(place.partition);
    if (followed?.view.getLot(lot.id) === undefined) {
      const outcome = await appender.append(
        place,
        (nonce) => encodeLot(lot, { nonce, maxRecordBytes }),
        deadlineMs,
      );
      if (outcome !== "appended") {
        return outcome;
      }
    }
    return await this.#announceLot(lot, place.partition, deadlineMs);
  }

  /** A lot that is kept but not announced may still be announced by a repeat, so that nothing else is certain. */
  async #announceLot(
    lot: LotRequest,
    partition: number,
    deadlineMs: number,
  ): Promise<AppendOutcome> {
    const { partitions, appender } = this.#options;
    const outcome = await appender.append(
      { topic: LOT_WORK_TOPIC, partition: partitions.getShard(lot) },
      () => [encodeOpenLot({ lot: lot.id, partition })],
      deadlineMs,
    );
    return outcome === "appended" ? "appended" : "unknown";
  }

  /**
   * Ends a lot; resolves with "missing" where there is none.
   *
   * @param id - The lot.
   * @param deadlineMs - When to give up, on the monotonic clock.
   */
  async closeLot(
    id: LotId,
    deadlineMs: number,
  ): Promise<AppendOutcome | "missing"> {
    const found = await this.findLot(id);
    if (found.kind === "missing") {
      return "missing";
    }
    if (found.kind === "found" && found.lot.hasEnded) {
      return "appended";
    }
    const { partitions, appender } = this.#options;
    return await appender.append(
      partitions.getPlace(id),
      (nonce) => [encodeEnd({ lot: id, nonce })],
      deadlineMs,
    );
  }

  /**
   * Returns a lot; one that is not known yet is looked for at the end of the log.
   *
   * @param id - The lot.
   * @param freshMs - How long ago the log may have been read for a lot that is
   * known, in milliseconds.
   */
  async findLot(id: LotId, freshMs = Infinity): Promise<LotAnswer> {
    const { partitions } = this.#options;
    const partition = partitions.follow(partitions.getPlace(id).partition);
    const known = partition.view.getLot(id);
    const ageMs = partition.getAgeMs();
    if (known !== undefined && ageMs <= freshMs) {
      return { kind: "found", lot: known };
    }
    if (ageMs > FRESH_MS) {
      try {
        await partition.readToEnd();
      } catch (error) {
        if (error instanceof PortError) {
          return { kind: "uncertain" };
        }
        throw error;
      }
    }
    const lot = partition.view.getLot(id);
    return lot === undefined ? { kind: "missing" } : { kind: "found", lot };
  }

  /**
   * Waits until a lot has a result at a position, or the time is up.
   *
   * @param lot - The lot.
   * @param position - The position.
   * @param waitMs - The longest wait, in milliseconds.
   */
  async waitResult(
    lot: LedgerLot,
    position: number,
    waitMs: number,
  ): Promise<void> {
    const { clock, partitions } = this.#options;
    const partition: LotPartition = partitions.follow(
      partitions.getPlace(lot.id).partition,
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
