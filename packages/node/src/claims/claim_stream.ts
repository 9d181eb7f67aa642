/**
 * Writes claims to one stream of the log: executes the commands of the claim
 * writer and settles each claim with its verdict.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import type { Timer } from "@briarhill/common/time/clock";
import type { LogPage } from "@briarhill/ports/log/log_service";
import {
  type CallId,
  type ClaimStructure,
  type ClaimVerdict,
  decodeClaims,
  encodeClaims,
} from "@briarhill/routing/claims/claim_structure";
import {
  type ClaimCommand,
  type ClaimPage,
  ClaimWriter,
} from "@briarhill/routing/claims/claim_writer";
import type { NodeContext } from "../node/node_context.ts";

const READ_LIMIT = 1000;
const READ_WAIT_MS = 500;
/** Claims that arrive within this delay are combined into one append. */
const BATCH_DELAY_MS = 1;
/** Delay after a failed read or append. */
const RETRY_DELAY_MS = 100;

/** Writes claims to one stream of the log, and settles them. */
export class ClaimStream {
  readonly #context: NodeContext;
  readonly #stream: string;
  readonly #writer = new ClaimWriter();
  readonly #verdictCallbacks = new Map<
    CallId,
    (verdict: ClaimVerdict) => void
  >();
  #pending: ClaimStructure[] = [];
  #timer: Timer | undefined;

  constructor(context: NodeContext, stream: string) {
    this.#context = context;
    this.#stream = stream;
  }

  /**
   * Claims a key, and resolves with the verdict.
   *
   * @param claim - The claim.
   */
  claim(claim: ClaimStructure): Promise<ClaimVerdict> {
    return new Promise((resolve) => {
      this.#verdictCallbacks.set(claim.callId, resolve);
      if (this.#pending.length === 0) {
        this.#context.clock.setTimer(BATCH_DELAY_MS, () => this.#addPending());
      }
      this.#pending.push(claim);
    });
  }

  /** Returns whether no claim waits for its verdict. */
  isIdle(): boolean {
    return this.#verdictCallbacks.size === 0;
  }

  #addPending(): void {
    const claims = this.#pending;
    this.#pending = [];
    this.#apply(this.#writer.add(claims, this.#getNowMs()));
  }

  #apply(commands: readonly ClaimCommand[]): void {
    for (const command of commands) {
      if (command.kind === "settle") {
        this.#verdictCallbacks.get(command.callId)?.(command.verdict);
        this.#verdictCallbacks.delete(command.callId);
      } else if (command.kind === "append") {
        void this.#append(command.claims);
      } else if (command.kind === "warn") {
        const { heldMs } = command;
        const stream = this.#stream;
        this.#context.logger.warn("claim-retention-short", { stream, heldMs });
      } else {
        void this.#read(command.from);
      }
    }
    this.#timer?.cancel();
    const delayMs = this.#writer.getDelayMs(this.#getNowMs());
    this.#timer = delayMs === undefined
      ? undefined
      : this.#context.clock.setTimer(delayMs, () => {
        this.#apply(this.#writer.advance(this.#getNowMs()));
      });
  }

  async #append(claims: readonly ClaimStructure[]): Promise<void> {
    let outcome: Outcome = "ran";
    try {
      await this.#context.log.append(this.#stream, encodeClaims(claims));
    } catch (error) {
      outcome = error instanceof BriarhillError ? error.outcome : "unknown";
      this.#context.logger.error("claim-append-failed", error, { outcome });
      await this.#context.clock.sleep(RETRY_DELAY_MS);
    }
    const nowMs = this.#getNowMs();
    this.#apply(this.#writer.handleAppend(claims, { outcome, nowMs }));
  }

  async #read(from: number): Promise<void> {
    let page: ClaimPage | undefined;
    try {
      page = toClaimPage(
        await this.#context.log.read(this.#stream, {
          from,
          limit: READ_LIMIT,
          waitMs: READ_WAIT_MS,
        }),
      );
    } catch (error) {
      this.#context.logger.error("claim-read-failed", error);
      await this.#context.clock.sleep(RETRY_DELAY_MS);
    }
    this.#apply(this.#writer.handlePage(page, this.#getNowMs()));
  }

  #getNowMs(): number {
    return this.#context.clock.getMonotonicMs();
  }
}

function toClaimPage(page: LogPage): ClaimPage {
  const records = page.records.map(({ offset, timeMs, value }) => ({
    offset,
    timeMs,
    claims: decodeClaims(value),
  }));
  return { records, firstOffset: page.first };
}
