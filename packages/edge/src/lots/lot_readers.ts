/**
 * Passes calls about lots on to the hosts that hold them in memory.
 *
 * Load pattern: clients ask about a lot at any host. One that has not followed
 * its partition would first read all of it, megabytes over a small link, while
 * the client gives up and asks the next host, which has to do the same.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { Logger } from "@briarhill/common/logging/logger";
import { encodePassedHeaders } from "@briarhill/platform/ingress/request_head";
import type { IncomingHttpHeaders } from "node:http";
import { writeWhole } from "../calls/caller_reply.ts";
import type { CallerExchange } from "../calls/ingress.ts";
import type { PeerList } from "../peers/peer_list.ts";
import type { LotPartitions } from "./lot_partitions.ts";

/** The header by which a host knows a call that another host passes on. */
const FORWARDED_HEADER = "Briarhill-Forwarded";
/** The longest wait for the head of an answer beyond that which the client asks for, in milliseconds; clients allow 1,500. */
const HEAD_TIMEOUT_MS = 500;
/** The longest wait for the rest, in milliseconds: a page of 1 MB over a small link. */
const BODY_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 250;
const MAX_CONNECTIONS = 16;
const IDLE_TIMEOUT_MS = 15_000;
/** The largest answer about a lot, in bytes: a page of 1 MB, or the body of one sample. */
const MAX_ANSWER_BYTES = 4_194_304;
const FIRST_FAILURE_STATUS = 300;
const STATUS_NOT_FOUND = 404;

/** What readers need. */
export interface LotReadersOptions {
  readonly logger: Logger;
  readonly peers: PeerList;
  readonly partitions: LotPartitions;
}

/** The hosts that hold lots in memory. */
export class LotReaders {
  readonly #options: LotReadersOptions;
  readonly #sender = new HttpSender({
    port: "peer",
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxConnections: MAX_CONNECTIONS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    maxBodyBytes: MAX_ANSWER_BYTES,
  });

  constructor(options: LotReadersOptions) {
    this.#options = options;
  }

  /**
   * Has a call answered by the host that holds its lot; returns false where
   * this host has to answer it.
   *
   * @param exchange - The call.
   * @param lot - The lot that it is about.
   */
  async forwardCall(exchange: CallerExchange, lot: string): Promise<boolean> {
    const { partitions, peers, logger } = this.#options;
    const { partition } = partitions.getPlace(lot);
    const peer = peers.getHolder(partition);
    const isHeld = partitions.getFollowed(partition) !== undefined;
    if (exchange.isForwarded || isHeld || peer === undefined) {
      return false;
    }
    try {
      return await this.#callPeer(exchange, peer);
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      logger.error("lot-holder-failed", error, { lot, peer: peer.hostname });
      peers.addFailure(peer);
      return false;
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#sender.close();
  }

  async #callPeer(
    { request, response, head }: CallerExchange,
    address: HttpAddress,
  ): Promise<boolean> {
    const { status, rawHeaders, body } = await this.#sender.send({
      address,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: [
        ...encodePassedHeaders(request.rawHeaders),
        FORWARDED_HEADER,
        "1",
      ],
      headTimeoutMs: head.waitMs + HEAD_TIMEOUT_MS,
    }, BODY_TIMEOUT_MS);
    if (status >= FIRST_FAILURE_STATUS && status !== STATUS_NOT_FOUND) {
      return false;
    }
    const headers = encodePassedHeaders(rawHeaders);
    writeWhole(response, { status, headers, body });
    return true;
  }
}

/**
 * Tells whether another host passes a call on.
 *
 * @example
 * ```ts
 * const isForwarded = isForwardedCall({ "briarhill-forwarded": "1" });
 * ```
 * @param headers - The headers of the call.
 */
export function isForwardedCall(headers: IncomingHttpHeaders): boolean {
  return headers[FORWARDED_HEADER.toLowerCase()] !== undefined;
}
