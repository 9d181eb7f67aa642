/**
 * Reaches the store directly, or through another host while the store turns
 * this one away.
 *
 * Load pattern: the store refuses some hosts for seconds and serves the
 * others. A host that only waited would accept no lot and lose its leases.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type {
  HttpAddress,
  HttpAnswer,
} from "@briarhill/common/http/http_exchange";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  type StoreCall,
  StoreTransport,
} from "@briarhill/platform/store/store_transport";

/** The header by which a host knows a call that it is to pass on. */
export const RELAY_HEADER = "Briarhill-Relay";
/** How often a store that turned this host away is tried directly, in milliseconds. */
const DIRECT_RETRY_MS = 1_000;
/** The longest wait for a body after its head, in milliseconds. */
const BODY_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 400;
const MAX_CONNECTIONS = 64;
const IDLE_TIMEOUT_MS = 30_000;
/** The largest answer of the store, in bytes: a page of 1 MB and one more record, in base64. */
const MAX_ANSWER_BYTES = 4_194_304;
/** How many other hosts are asked for one call. */
const MAX_RELAYS = 2;

/** What a transport needs. */
export interface RelayedTransportOptions {
  readonly store: HttpAddress;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the other hosts' addresses, in the order in which they are to be asked. */
  readonly listPeers: () => readonly HttpAddress[];
}

/** Reaches the store directly or through another host. */
export class RelayedTransport extends StoreTransport {
  readonly #options: RelayedTransportOptions;
  readonly #sender = new HttpSender({
    port: "store",
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxConnections: MAX_CONNECTIONS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    maxBodyBytes: MAX_ANSWER_BYTES,
  });
  #isAway = false;
  #retryDirectAtMs = 0;

  constructor(options: RelayedTransportOptions) {
    super();
    this.#options = options;
  }

  /** Whether the store is reached directly, as far as is known. */
  get isDirect(): boolean {
    return !this.#isAway;
  }

  override async call(call: StoreCall): Promise<HttpAnswer> {
    if (!this.#shouldTryDirect()) {
      return await this.#callPeers(call) ?? await this.callDirect(call);
    }
    try {
      const answer = await this.callDirect(call);
      return isTurnedAway(answer)
        ? await this.#callPeers(call) ?? answer
        : answer;
    } catch (error) {
      const isSafe = error instanceof PortError &&
        (error.outcome === "not-run" || call.method === "GET");
      const relayed = isSafe ? await this.#callPeers(call) : undefined;
      if (relayed === undefined) {
        throw error;
      }
      return relayed;
    }
  }

  /**
   * Makes a call to the store itself.
   *
   * @param call - The call.
   */
  async callDirect(call: StoreCall): Promise<HttpAnswer> {
    try {
      const answer = await this.#send(this.#options.store, call);
      this.#setAway(isTurnedAway(answer), `status ${answer.status}`);
      return answer;
    } catch (error) {
      this.#setAway(true, error instanceof PortError ? error.fault : "fault");
      throw error;
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#sender.close();
  }

  #shouldTryDirect(): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (this.#isAway && nowMs < this.#retryDirectAtMs) {
      return false;
    }
    this.#retryDirectAtMs = nowMs + DIRECT_RETRY_MS;
    return true;
  }

  /** Returns undefined where no other host could make the call and nothing was done. */
  async #callPeers(call: StoreCall): Promise<HttpAnswer | undefined> {
    if (!call.mayRelay) {
      return undefined;
    }
    for (const peer of this.#options.listPeers().slice(0, MAX_RELAYS)) {
      try {
        const answer = await this.#send(peer, call);
        if (!isTurnedAway(answer)) {
          return answer;
        }
      } catch (error) {
        this.#options.logger.error("relay-failed", error, {
          peer: peer.hostname,
        });
        const isSafe = error instanceof PortError &&
          (error.outcome === "not-run" || call.method === "GET");
        if (!isSafe) {
          throw error;
        }
      }
    }
    return undefined;
  }

  #send(address: HttpAddress, call: StoreCall): Promise<HttpAnswer> {
    const { method, path, body, timeoutMs } = call;
    return this.#sender.send({
      address,
      method,
      path,
      headers: [
        "Host",
        `${address.hostname}:${address.port}`,
        RELAY_HEADER,
        String(timeoutMs),
      ],
      ...(body === undefined ? {} : { body }),
      headTimeoutMs: timeoutMs,
    }, BODY_TIMEOUT_MS);
  }

  #setAway(isAway: boolean, reason: string): void {
    if (isAway !== this.#isAway) {
      const { logger } = this.#options;
      isAway
        ? logger.warn("store-lost", { reason })
        : logger.warn("store-regained", { reason });
    }
    this.#isAway = isAway;
  }
}

/** The store has done nothing and may serve other hosts meanwhile. */
function isTurnedAway({ status }: HttpAnswer): boolean {
  return status === 503 || status === 429;
}
