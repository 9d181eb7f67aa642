/**
 * Batches the claims of one stream into appends, and settles them by reading
 * the stream back.
 * @module
 */
import type { Outcome } from "@briarhill/common/ids/ids";
import {
  CLAIM_LIFETIME_MS,
  ClaimLedger,
  type ClaimRecord,
} from "./claim_ledger.ts";
import {
  type CallId,
  CLAIM_STREAMS,
  type ClaimStructure,
  type ClaimVerdict,
} from "./claim_structure.ts";
import { RetentionCheck } from "./retention_check.ts";

/** Limit on the append rate of all claim streams together. */
const MAX_APPENDS_PER_SECOND = 100;
/** Minimum interval between the starts of two appends to one stream. */
const APPEND_INTERVAL_MS = CLAIM_STREAMS * 1000 / MAX_APPENDS_PER_SECOND;
/** Timeout after which the call of an unsettled claim is abandoned. */
const SETTLE_TIMEOUT_MS = 3000;
const MAX_BATCH_CLAIMS = 256;
const MAX_PENDING_CLAIMS = 4096;
/** Limit above which claims are refused, as a key must not be evicted within its lifetime. */
const MAX_KEYS = 6_000_000;

/** Command of a claim writer for its stream. */
export type ClaimCommand =
  | { readonly kind: "append"; readonly claims: readonly ClaimStructure[] }
  /** Read the stream from an offset and pass the page to {@link ClaimWriter.handlePage}. */
  | { readonly kind: "read"; readonly from: number }
  | {
    readonly kind: "settle";
    readonly callId: CallId;
    readonly verdict: ClaimVerdict;
  }
  /** The log dropped a record of this age, which is less than the lifetime of its keys. */
  | { readonly kind: "warn"; readonly heldMs: number };

/** Limits on the keys that a writer retains; the defaults are those of a node. */
export interface ClaimLimits {
  /** Maximum number of keys retained with their owner. */
  readonly maxOwners?: number;
  readonly maxKeys?: number;
}

interface PendingClaim {
  readonly claim: ClaimStructure;
  readonly addedAtMs: number;
  isAppended: boolean;
}

/**
 * Claims of one stream on this host. A claim wins when its own record has been
 * read back and no earlier record owns the key, which also holds after a lost
 * append response and with a second writer. A claim that is not settled before
 * the timeout is abandoned permanently: if its record becomes visible later,
 * the call is still never sent.
 */
export class ClaimWriter {
  readonly #ledger: ClaimLedger;
  readonly #retention = new RetentionCheck(CLAIM_LIFETIME_MS);
  readonly #pending = new Map<CallId, PendingClaim>();
  readonly #maxKeys: number;
  #isAppending = false;
  #isReading = false;
  #lastAppendMs = -Infinity;

  constructor(limits: ClaimLimits = {}) {
    this.#ledger = new ClaimLedger(limits.maxOwners);
    this.#maxKeys = limits.maxKeys ?? MAX_KEYS;
  }

  /** Returns the number of retained keys. */
  get size(): number {
    return this.#ledger.size;
  }

  /**
   * Adds claims. Claims beyond the limits are settled as `unsettled`.
   *
   * @param claims - The claims.
   * @param nowMs - The current time.
   */
  add(
    claims: readonly ClaimStructure[],
    nowMs: number,
  ): readonly ClaimCommand[] {
    const commands: ClaimCommand[] = [];
    for (const claim of claims) {
      const { callId } = claim;
      if (
        this.#pending.size >= MAX_PENDING_CLAIMS || this.size >= this.#maxKeys
      ) {
        const verdict = { kind: "unsettled" } as const;
        commands.push({ kind: "settle", callId, verdict });
      } else {
        this.#pending.set(callId, {
          claim,
          addedAtMs: nowMs,
          isAppended: false,
        });
      }
    }
    return [...commands, ...this.advance(nowMs)];
  }

  /**
   * Handles the end of an append. Claims of an append that was not run are
   * appended again; an unknown outcome is resolved only by reading the stream.
   *
   * @param claims - The claims of the append.
   * @param options - The outcome and the current time.
   */
  handleAppend(
    claims: readonly ClaimStructure[],
    options: { readonly outcome: Outcome; readonly nowMs: number },
  ): readonly ClaimCommand[] {
    this.#isAppending = false;
    for (const { callId } of claims) {
      const pending = this.#pending.get(callId);
      if (pending !== undefined && options.outcome === "not-run") {
        pending.isAppended = false;
      }
    }
    return this.advance(options.nowMs);
  }

  /**
   * Handles a page of the stream, or a failed read.
   *
   * @param page - The page, or undefined if the read failed.
   * @param nowMs - The current time.
   */
  handlePage(
    page: ClaimPage | undefined,
    nowMs: number,
  ): readonly ClaimCommand[] {
    this.#isReading = false;
    const commands: ClaimCommand[] = [];
    if (page !== undefined) {
      this.#ledger.setFirstOffset(page.firstOffset);
      for (const record of page.records) {
        this.#ledger.apply(record);
        this.#retention.record(record);
        commands.push(...this.#settleRecord(record));
      }
      commands.push(...this.#checkRetention(page));
    }
    return [...commands, ...this.advance(nowMs)];
  }

  /**
   * Abandons claims that reached the timeout, and starts the appends and reads
   * that are due.
   *
   * @param nowMs - The current time.
   */
  advance(nowMs: number): readonly ClaimCommand[] {
    const commands: ClaimCommand[] = [];
    for (const [callId, { addedAtMs }] of this.#pending) {
      if (nowMs - addedAtMs >= SETTLE_TIMEOUT_MS) {
        this.#pending.delete(callId);
        const verdict = { kind: "unsettled" } as const;
        commands.push({ kind: "settle", callId, verdict });
      }
    }
    commands.push(...this.#appendDue(nowMs));
    const hasAppended = [...this.#pending.values()].some((it) => it.isAppended);
    if (hasAppended && !this.#isReading && !this.#isAppending) {
      this.#isReading = true;
      commands.push({ kind: "read", from: this.#ledger.nextOffset });
    }
    return commands;
  }

  /** Returns the delay until {@link ClaimWriter.advance} is due, or undefined without pending claims. */
  getDelayMs(nowMs: number): number | undefined {
    return this.#pending.size === 0
      ? undefined
      : Math.max(1, this.#lastAppendMs + APPEND_INTERVAL_MS - nowMs);
  }

  #appendDue(nowMs: number): readonly ClaimCommand[] {
    if (
      this.#isAppending || nowMs - this.#lastAppendMs < APPEND_INTERVAL_MS
    ) {
      return [];
    }
    const due = [...this.#pending.values()]
      .filter((it) => !it.isAppended)
      .slice(0, MAX_BATCH_CLAIMS);
    if (due.length === 0) {
      return [];
    }
    due.forEach((it) => it.isAppended = true);
    this.#isAppending = true;
    this.#lastAppendMs = nowMs;
    return [{ kind: "append", claims: due.map(({ claim }) => claim) }];
  }

  #checkRetention(
    { records, firstOffset }: ClaimPage,
  ): readonly ClaimCommand[] {
    const newestMs = records.at(-1)?.timeMs;
    const heldMs = newestMs === undefined
      ? undefined
      : this.#retention.findDroppedAgeMs(firstOffset, newestMs);
    return heldMs === undefined ? [] : [{ kind: "warn", heldMs }];
  }

  #settleRecord(record: ClaimRecord): readonly ClaimCommand[] {
    const commands: ClaimCommand[] = [];
    for (const { callId, keyHash } of record.claims) {
      if (this.#pending.delete(callId)) {
        const owner = this.#ledger.getOwner(keyHash);
        const verdict = getVerdict(callId, owner);
        commands.push({ kind: "settle", callId, verdict });
      }
    }
    return commands;
  }
}

function getVerdict(
  callId: CallId,
  owner: ClaimStructure | undefined,
): ClaimVerdict {
  if (owner === undefined) {
    return { kind: "repeated" };
  }
  return owner.callId === callId ? { kind: "won" } : { kind: "lost", owner };
}

/** Consecutive records of a stream. */
export interface ClaimPage {
  readonly records: readonly ClaimRecord[];
  /** Oldest offset that the log retains. */
  readonly firstOffset: number;
}
