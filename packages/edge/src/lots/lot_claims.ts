/**
 * Asks the processes that have claimed lots whether they still run them, and
 * answers the same question of others.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { LOT_WORK_TOPIC } from "@briarhill/platform/names/topics";
import { decideClaim } from "@briarhill/rollout/ledger/lot_claim";
import {
  encodeOpenLot,
  type OpenLotEntry,
} from "@briarhill/rollout/ledger/open_lots";
import type { IncomingMessage, ServerResponse } from "node:http";

/** The header by which a host knows the question; its value is the lot. */
export const CLAIM_HEADER = "Briarhill-Claim";
/** How often a process that runs a lot is asked again, in milliseconds. */
const ASK_EVERY_MS = 300;
/** The longest wait for an answer, in milliseconds; some fifty round trips between failure domains. */
const ANSWER_TIMEOUT_MS = 250;
/** How long an answer is remembered that is not asked for again, in milliseconds. */
const KEEP_ANSWERS_MS = 10_000;
const MAX_CONNECTIONS = 4;
const IDLE_TIMEOUT_MS = 5_000;
const MAX_ANSWER_BYTES = 1_024;
const STATUS_RUNNING = 200;
const STATUS_NOT_RUNNING = 404;

/** What claims need. */
export interface LotClaimsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly log: SharedLog;
  /** This process. */
  readonly self: string;
  /** The port at which hosts reach each other. */
  readonly peerPort: number;
}

interface ClaimAnswer {
  /** Undefined until the first answer. */
  readonly isRunning: boolean | undefined;
  readonly askedAtMs: number;
}

/** Who runs which lot, among the hosts that have claimed them. */
export class LotClaims {
  readonly #options: LotClaimsOptions;
  readonly #answers = new Map<string, ClaimAnswer>();
  readonly #sender = new HttpSender({
    port: "peer",
    connectTimeoutMs: ANSWER_TIMEOUT_MS,
    maxConnections: MAX_CONNECTIONS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    maxBodyBytes: MAX_ANSWER_BYTES,
  });

  constructor(options: LotClaimsOptions) {
    this.#options = options;
  }

  /**
   * Tells whether this process may run a lot now. Where another one has claimed
   * it, the answer comes with a later call.
   *
   * @param entry - The lot.
   */
  canRun(entry: OpenLotEntry): boolean {
    const { clock, self } = this.#options;
    const decision = decideClaim(entry, self);
    if (decision.kind === "run") {
      return true;
    }
    const key = `${entry.lot} ${entry.owner}`;
    const known = this.#answers.get(key);
    const nowMs = clock.getMonotonicMs();
    if (known === undefined || nowMs - known.askedAtMs >= ASK_EVERY_MS) {
      this.#pruneAnswers(nowMs);
      this.#answers.set(key, {
        isRunning: known?.isRunning,
        askedAtMs: nowMs,
      });
      void this.#fetchAnswer(entry, decision.host);
    }
    return known?.isRunning === false;
  }

  /**
   * Tells the other hosts that this process runs a lot.
   *
   * @param shard - The lot's shard.
   * @param entry - The lot.
   */
  async addClaim(shard: number, entry: OpenLotEntry): Promise<void> {
    const { log, logger, self } = this.#options;
    this.#answers.delete(`${entry.lot} ${entry.owner}`);
    const place = { topic: LOT_WORK_TOPIC, partition: shard };
    try {
      await log.append(place, [encodeOpenLot({ ...entry, owner: self })]);
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      // Without the claim a lot moves with its shard, no more.
      logger.error("lot-append-failed", error, { partition: shard });
    }
  }

  /**
   * Answers whether a lot runs here.
   *
   * @param request - The question.
   * @param response - Where to write.
   * @param isRunning - Tells whether a lot runs here.
   */
  handle(
    request: IncomingMessage,
    response: ServerResponse,
    isRunning: (lot: string) => boolean,
  ): void {
    request.resume();
    const lot = request.headers[CLAIM_HEADER.toLowerCase()];
    const status = typeof lot === "string" && isRunning(lot)
      ? STATUS_RUNNING
      : STATUS_NOT_RUNNING;
    response.writeHead(status, { "content-length": 0 }).end();
  }

  /** Closes all connections. */
  close(): void {
    this.#sender.close();
  }

  #pruneAnswers(nowMs: number): void {
    for (const [key, { askedAtMs }] of this.#answers) {
      if (nowMs - askedAtMs > KEEP_ANSWERS_MS) {
        this.#answers.delete(key);
      }
    }
  }

  async #fetchAnswer(
    { lot, owner }: OpenLotEntry,
    hostname: string,
  ): Promise<void> {
    const { logger, peerPort, clock } = this.#options;
    const isRunning = await this.#sender.send({
      address: { hostname, port: peerPort },
      method: "GET",
      path: "/",
      headers: ["Host", hostname, CLAIM_HEADER, lot],
      headTimeoutMs: ANSWER_TIMEOUT_MS,
    }, ANSWER_TIMEOUT_MS).then(
      ({ status }) => status === STATUS_RUNNING,
      (error: unknown) => {
        logger.warn("lot-owner-silent", {
          lot,
          owner: owner ?? "",
          fault: error instanceof PortError ? error.fault : "fault",
        });
        return false;
      },
    );
    const askedAtMs = clock.getMonotonicMs();
    this.#answers.set(`${lot} ${owner}`, { isRunning, askedAtMs });
  }
}
