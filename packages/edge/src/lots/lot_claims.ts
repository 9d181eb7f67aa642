/**
 * Asks the processes that have claimed lots whether they still run them, and
 * answers the same requests of other hosts.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { OPEN_LOT_TOPIC } from "@briarhill/platform/names/topics";
import { decideClaim } from "@briarhill/rollout/ledger/lot_claim";
import {
  encodeOpenLot,
  type OpenLotEntry,
} from "@briarhill/rollout/ledger/open_lots";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Header that marks a claim check; its value is the lot's id. */
export const CLAIM_HEADER = "Briarhill-Claim";
/** Interval between claim checks of one lot, in milliseconds. */
const CHECK_INTERVAL_MS = 300;
/** Timeout of a claim check, in milliseconds; about fifty round trips between failure domains. */
const RESPONSE_TIMEOUT_MS = 250;
/** How long the last result of a claim check is retained when no new check is made, in milliseconds. */
const CLAIM_STATUS_RETENTION_MS = 10_000;
const MAX_CONNECTIONS = 4;
const IDLE_TIMEOUT_MS = 5_000;
const MAX_RESPONSE_BYTES = 1_024;
const STATUS_RUNNING = 200;
const STATUS_NOT_RUNNING = 404;

/** Options of `LotClaims`. */
export interface LotClaimsOptions {
  /** The account of the responses of other hosts. */
  readonly internalResponses: ResponseMemory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly log: SharedLog;
  /** Id of this process. */
  readonly processId: string;
  /** Port on which hosts listen for calls of other hosts. */
  readonly peerPort: number;
}

interface ClaimStatus {
  /** Undefined until the first check has completed. */
  readonly isRunning: boolean | undefined;
  readonly checkedAtMs: number;
}

/** Claims lots for this process and checks the claims of other processes. */
export class LotClaims {
  readonly #options: LotClaimsOptions;
  readonly #statuses = new Map<string, ClaimStatus>();
  readonly #sender: HttpSender;

  constructor(options: LotClaimsOptions) {
    this.#options = options;
    this.#sender = new HttpSender({
      port: "peer",
      connectTimeoutMs: RESPONSE_TIMEOUT_MS,
      maxConnections: MAX_CONNECTIONS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxBodyBytes: MAX_RESPONSE_BYTES,
      memory: options.internalResponses,
    });
  }

  /**
   * Returns whether this process may run a lot now. If another process has
   * claimed the lot, returns false until a check has shown that it no longer
   * runs the lot; checks run in the background.
   *
   * @param entry - The lot.
   */
  canRun(entry: OpenLotEntry): boolean {
    const { clock, processId } = this.#options;
    const decision = decideClaim(entry, processId);
    if (decision.kind === "run") {
      return true;
    }
    const key = `${entry.lot} ${entry.owner}`;
    const cached = this.#statuses.get(key);
    const nowMs = clock.getMonotonicMs();
    if (
      cached === undefined || nowMs - cached.checkedAtMs >= CHECK_INTERVAL_MS
    ) {
      this.#pruneStatuses(nowMs);
      this.#statuses.set(key, {
        isRunning: cached?.isRunning,
        checkedAtMs: nowMs,
      });
      void this.#fetchStatus(entry, decision.host);
    }
    return cached?.isRunning === false;
  }

  /**
   * Announces to the other hosts that this process runs a lot.
   *
   * @param shard - The lot's shard.
   * @param entry - The lot.
   */
  async addClaim(shard: number, entry: OpenLotEntry): Promise<void> {
    const { log, logger, processId } = this.#options;
    this.#statuses.delete(`${entry.lot} ${entry.owner}`);
    const logPartition = { topic: OPEN_LOT_TOPIC, partition: shard };
    try {
      await log.append(logPartition, [
        encodeOpenLot({ ...entry, owner: processId }),
      ]);
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      // The only effect of a missing claim is that the lot moves with its shard.
      logger.error("lot-append-failed", error, { partition: shard });
    }
  }

  /**
   * Answers a claim check of another host.
   *
   * @param request - The claim check, with the lot in its header.
   * @param response - The response to write to.
   * @param isRunning - Returns whether this process runs a lot.
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

  /** Closes all connections to other hosts. */
  close(): void {
    this.#sender.close();
  }

  #pruneStatuses(nowMs: number): void {
    for (const [key, { checkedAtMs }] of this.#statuses) {
      if (nowMs - checkedAtMs > CLAIM_STATUS_RETENTION_MS) {
        this.#statuses.delete(key);
      }
    }
  }

  async #fetchStatus(
    { lot, owner }: OpenLotEntry,
    hostname: string,
  ): Promise<void> {
    const { logger, peerPort, clock } = this.#options;
    const isRunning = await this.#sender.send({
      address: { hostname, port: peerPort },
      method: "GET",
      path: "/",
      headers: ["Host", hostname, CLAIM_HEADER, lot],
      headTimeoutMs: RESPONSE_TIMEOUT_MS,
    }, RESPONSE_TIMEOUT_MS).then(
      ({ status }) => status === STATUS_RUNNING,
      (error: unknown) => {
        logger.warn("lot-owner-unreachable", {
          lot,
          owner: owner ?? "",
          fault: error instanceof PortError ? error.fault : "fault",
        });
        return false;
      },
    );
    const checkedAtMs = clock.getMonotonicMs();
    this.#statuses.set(`${lot} ${owner}`, { isRunning, checkedAtMs });
  }
}
