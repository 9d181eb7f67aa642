/**
 * The claims that this host writes to one stream of the log.
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
/** Claims that arrive together go into one append. */
const GATHER_MS = 1;
/** The wait after a failed read or append. */
const FAULT_WAIT_MS = 100;

/** The claims that this host writes to one stream of the log. */
export class ClaimStream {
  readonly #context: NodeContext;
  readonly #stream: string;
  readonly #writer = new ClaimWriter();
  readonly #waiting = new Map<CallId, (verdict: ClaimVerdict) => void>();
  #arrived: ClaimStructure[] = [];
  #timer: Timer | undefined;

  constructor(context: NodeContext, stream: string) {
    this.#context = context;
    this.#stream = stream;
  }

  /**
   * Claims a key, and resolves with what came of it.
   *
   * @param claim - The claim.
   */
  claim(claim: ClaimStructure): Promise<ClaimVerdict> {
    return new Promise((resolve) => {
      this.#waiting.set(claim.callId, resolve);
      if (this.#arrived.length === 0) {
        this.#context.clock.setTimer(GATHER_MS, () => this.#addArrived());
      }
      this.#arrived.push(claim);
    });
  }

  /** Tells whether no claim waits. */
  isIdle(): boolean {
    return this.#waiting.size === 0;
  }

  #addArrived(): void {
    const claims = this.#arrived;
    this.#arrived = [];
    this.#apply(this.#writer.add(claims, this.#getNowMs()));
  }

  #apply(commands: readonly ClaimCommand[]): void {
    for (const command of commands) {
      if (command.kind === "settle") {
        this.#waiting.get(command.callId)?.(command.verdict);
        this.#waiting.delete(command.callId);
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
      await this.#context.clock.sleep(FAULT_WAIT_MS);
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
      await this.#context.clock.sleep(FAULT_WAIT_MS);
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
