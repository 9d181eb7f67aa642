/**
 * Asks the owner of a service's permits for permits, over the hosts' own port or
 * in this process, and reports to it what this host learns of limits.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { PeerList } from "../peers/peer_list.ts";
import {
  decodePermitReply,
  encodePermitCall,
  type PermitCall,
  type PermitReply,
} from "./permit_message.ts";
import {
  PERMIT_HEADER,
  type PermitOwner,
  STATUS_NOT_OWNER,
} from "./permit_owner.ts";

/** The timeout for a reply in addition to the time that the owner may wait for a permit, in milliseconds. */
const REPLY_TIMEOUT_MS = 250;
const MAX_CONNECTIONS = 64;
const IDLE_TIMEOUT_MS = 5_000;
const MAX_REPLY_BYTES = 4_096;
/** The number of times that an owner is looked up for one call. */
const MAX_LOOKUPS = 3;
/** The delay before the owner is looked up again, in milliseconds: a refresh of the list of owners takes some 10. */
const LOOKUP_DELAY_MS = 40;
/** The retry delay while no owner answers, in milliseconds; the group assigns the shard of a dead host within 1.2 s. */
const NO_OWNER_RETRY_MS = 600;

/** Options of {@link PermitClient}. */
export interface PermitClientOptions {
  /** The account of the responses of other hosts. */
  readonly internalResponses: ResponseMemory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly peers: PeerList;
  readonly owner: PermitOwner;
  /** Returns the shard whose owner grants the permits of a service. */
  readonly getShard: (service: string) => number;
}

/** Calls the owners of permits. */
export class PermitClient {
  readonly #options: PermitClientOptions;
  readonly #sender: HttpSender;

  constructor(options: PermitClientOptions) {
    this.#options = options;
    this.#sender = new HttpSender({
      port: "peer",
      connectTimeoutMs: REPLY_TIMEOUT_MS,
      maxConnections: MAX_CONNECTIONS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxBodyBytes: MAX_REPLY_BYTES,
      memory: options.internalResponses,
    });
  }

  /**
   * Calls the owner of a service's permits. Resolves with a rejection if no owner answers.
   *
   * @param call - The call.
   * @param signal - Aborts when the reply is no longer needed.
   */
  async callOwner(call: PermitCall, signal: AbortSignal): Promise<PermitReply> {
    const { clock, owner, peers, getShard } = this.#options;
    for (let lookup = 0; lookup < MAX_LOOKUPS && !signal.aborted; lookup++) {
      const local = await owner.handleCall(call, signal);
      if (local !== undefined) {
        return local;
      }
      const peer = peers.getShardOwner(getShard(call.service));
      const reply = peer === undefined
        ? undefined
        : await this.#callPeer(peer, call, signal);
      if (reply !== undefined) {
        return reply;
      }
      await clock.sleep(LOOKUP_DELAY_MS, signal);
    }
    return { kind: "rejected", retryAfterMs: NO_OWNER_RETRY_MS };
  }

  /**
   * Sends a report to the owner of a service's permits; a report that reaches no owner is dropped.
   *
   * @param call - The call, without a request for a permit.
   */
  async reportToOwner(call: Omit<PermitCall, "request">): Promise<void> {
    await this.callOwner(call, new AbortController().signal);
  }

  /** Closes all connections to other hosts. */
  close(): void {
    this.#sender.close();
  }

  async #callPeer(
    peer: HttpAddress,
    call: PermitCall,
    signal: AbortSignal,
  ): Promise<PermitReply | undefined> {
    const { logger, peers } = this.#options;
    try {
      const { status, body } = await this.#sender.send({
        address: peer,
        method: "POST",
        path: "/",
        headers: ["Host", peer.hostname, PERMIT_HEADER, "1"],
        body: encodePermitCall(call),
        headTimeoutMs: REPLY_TIMEOUT_MS + (call.request?.maxWaitMs ?? 0),
        signal,
      }, REPLY_TIMEOUT_MS);
      if (status === STATUS_NOT_OWNER) {
        peers.updateNow();
        return undefined;
      }
      return decodePermitReply(body);
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      if (!signal.aborted) {
        logger.warn("permit-owner-unreachable", {
          service: call.service,
          peer: peer.hostname,
          reason: error.message,
        });
        peers.addFailure(peer);
      }
      return undefined;
    }
  }
}
