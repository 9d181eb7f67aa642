/**
 * Forwards calls about lots to the hosts that hold them in memory.
 *
 * Load pattern: clients send calls about a lot to any host. A host that doesn't
 * follow the lot's partition would first have to read all of it, megabytes over
 * a slow link; the client would time out and retry at the next host, which
 * would have to do the same.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { Logger } from "@briarhill/common/logging/logger";
import { encodeRelayedHeaders } from "@briarhill/platform/ingress/request_head";
import { writeReply } from "../calls/caller_reply.ts";
import type { CallerExchange } from "../calls/caller_exchange.ts";
import { encodeHopHeaders } from "../peers/hop_headers.ts";
import type { PeerList } from "../peers/peer_list.ts";
import type { LotPartitions } from "./lot_partitions.ts";

/** Timeout for the response head beyond the wait that the client asked for, in milliseconds; clients allow 1,500. */
const HEAD_TIMEOUT_MS = 500;
/** Timeout for the response body, in milliseconds; enough for a page of 1 MB over a slow link. */
const BODY_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 250;
const MAX_CONNECTIONS = 16;
const IDLE_TIMEOUT_MS = 15_000;
/** Maximum size of a response about a lot, in bytes; a page has 1 MB, other responses the body of one sample. */
const MAX_RESPONSE_BYTES = 4_194_304;
const FIRST_FAILURE_STATUS = 300;
const STATUS_NOT_FOUND = 404;

/** Options of `LotCallForwarder`. */
export interface LotCallForwarderOptions {
  /** The account of the responses of other hosts. */
  readonly internalResponses: ResponseMemory;
  readonly logger: Logger;
  readonly peers: PeerList;
  readonly partitions: LotPartitions;
}

/** Forwards calls to the hosts that hold their lots in memory. */
export class LotCallForwarder {
  readonly #options: LotCallForwarderOptions;
  readonly #sender: HttpSender;

  constructor(options: LotCallForwarderOptions) {
    this.#options = options;
    this.#sender = new HttpSender({
      port: "peer",
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxConnections: MAX_CONNECTIONS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxBodyBytes: MAX_RESPONSE_BYTES,
      memory: options.internalResponses,
    });
  }

  /**
   * Forwards a call to the host that holds its lot. Resolves with false if the
   * call was not answered and this host has to answer it.
   *
   * @param exchange - The call.
   * @param lot - The id of the lot that the call refers to.
   */
  async forwardCall(exchange: CallerExchange, lot: string): Promise<boolean> {
    const { partitions, peers, logger } = this.#options;
    const { partition } = partitions.getPartition(lot);
    const peer = peers.getShardOwner(partition);
    const isFollowed = partitions.getFollowed(partition) !== undefined;
    if (exchange.isForwarded || isFollowed || peer === undefined) {
      return false;
    }
    try {
      return await this.#callPeer(exchange, peer);
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      logger.error("lot-forward-failed", error, { lot, peer: peer.hostname });
      peers.addFailure(peer);
      return false;
    }
  }

  /** Closes all connections to other hosts. */
  close(): void {
    this.#sender.close();
  }

  async #callPeer(
    { request, response, head, ...exchange }: CallerExchange,
    address: HttpAddress,
  ): Promise<boolean> {
    const { status, rawHeaders, body } = await this.#sender.send({
      address,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: [
        ...encodeRelayedHeaders(exchange.rawHeaders),
        ...encodeHopHeaders(),
      ],
      headTimeoutMs: head.waitMs + HEAD_TIMEOUT_MS,
    }, BODY_TIMEOUT_MS);
    if (status >= FIRST_FAILURE_STATUS && status !== STATUS_NOT_FOUND) {
      return false;
    }
    const headers = encodeRelayedHeaders(rawHeaders);
    writeReply(response, { status, headers, body });
    return true;
  }
}
