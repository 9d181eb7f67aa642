/**
 * Calls the platform's API for the holder of the lease. Right before each call the
 * lease is checked, and a call that can't be sent within a short time is dropped,
 * so that no call arrives after the term of its sender.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  decodeDutyReply,
  type DutyCall,
  type DutyReply,
  encodeDutyHolder,
} from "@briarhill/platform/cloud/duty_calls";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { CloudSettings } from "../settings/host_settings.ts";
import type { LeaseManager } from "../weights/lease_manager.ts";

/** Timeout for opening a connection, in milliseconds; below the transit time for which a new holder waits. */
const CONNECT_TIMEOUT_MS = 300;
const CALL_TIMEOUT_MS = 1_000;
const BODY_TIMEOUT_MS = 300;
const IDLE_TIMEOUT_MS = 8_000;
const MAX_BODY_BYTES = 65_536;

/** What became of a call: the reply of the platform, none, or a call that was not made. */
export type DutyResult = DutyReply | "unanswered" | "not-sent";

/** The part of the lease that duties depend on. */
export type DutyLease = Pick<LeaseManager, "canOrder" | "isHolder" | "token">;

/** Options of {@link DutyCaller}. */
export interface DutyCallerOptions {
  /** The account of the responses of the platform. */
  readonly internalResponses: ResponseMemory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  readonly lease: DutyLease;
  /** The name of this host. */
  readonly holder: string;
  readonly cloud: CloudSettings;
}

/** Calls the platform's API while this host holds the lease. */
export class DutyCaller {
  readonly #options: DutyCallerOptions;
  readonly #sender: HttpSender;
  #nextCallMs = -Infinity;

  constructor(options: DutyCallerOptions) {
    this.#options = options;
    this.#sender = new HttpSender({
      port: "cloud",
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      // Calls of one duty are made one after the other.
      maxConnections: 2,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxBodyBytes: MAX_BODY_BYTES,
      memory: options.internalResponses,
    });
  }

  /**
   * Makes a call once the rate of calls allows it.
   *
   * @param duty - The name of the duty, for logs and metrics.
   * @param call - The call.
   */
  async call(duty: string, call: DutyCall): Promise<DutyResult> {
    const { clock, lease, metrics } = this.#options;
    await clock.sleep(this.#takeTurn());
    if (!lease.canOrder()) {
      return "not-sent";
    }
    const result = await this.#send(duty, call);
    metrics.addDutyCall(duty, result);
    return result;
  }

  /** Closes all connections. */
  close(): void {
    this.#sender.close();
  }

  /** Takes the next turn and returns the wait until then, in milliseconds. Only one host calls, so its rate is the rate of all. */
  #takeTurn(): number {
    const { clock, cloud } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const turnMs = Math.max(nowMs, this.#nextCallMs);
    this.#nextCallMs = turnMs + 1_000 / cloud.callsPerS;
    return turnMs - nowMs;
  }

  async #send(duty: string, call: DutyCall): Promise<DutyResult> {
    const { lease, holder, cloud, logger } = this.#options;
    const { token } = lease;
    const { hostname, port } = cloud.address;
    try {
      const { status } = await this.#sender.send({
        address: cloud.address,
        method: "POST",
        ...call,
        headers: [
          "Host",
          `${hostname}:${port}`,
          ...encodeDutyHolder({ holder, token }),
        ],
        headTimeoutMs: CALL_TIMEOUT_MS,
      }, BODY_TIMEOUT_MS);
      return decodeDutyReply(status);
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      logger.error("duty-call-unanswered", error, { duty, token });
      return "unanswered";
    }
  }
}
