/**
 * Sends calls to the store directly, or through another host while the store
 * rejects or doesn't answer this one. A call that may have run must not be sent
 * again unless it is a GET.
 *
 * Under load, the store rejects some hosts for seconds and serves the others. A
 * host that only waited would accept no lots and lose its leases.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type {
  HttpAddress,
  HttpResponse,
} from "@briarhill/common/http/http_exchange";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { LOG_OWNERS_PATH } from "@briarhill/platform/names/paths";
import {
  type StoreCall,
  StoreTransport,
} from "@briarhill/platform/store/store_transport";

/** The header that marks a call to relay to the store; its value is the timeout in milliseconds. */
export const RELAY_HEADER = "Briarhill-Relay";
/** The interval at which an unavailable store is tried directly, in milliseconds. */
const DIRECT_RETRY_INTERVAL_MS = 1_000;
/** The timeout of the call that tries the store, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;
/** The group that this call asks for; it needs no members. */
const PROBED_GROUP = "probe";
/** The timeout for the response body after its head, in milliseconds. */
const BODY_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 400;
const MAX_CONNECTIONS = 64;
const IDLE_TIMEOUT_MS = 30_000;
/** The maximum size of a store response, in bytes: a page of 1 MB and one more record, in base64. */
const MAX_ANSWER_BYTES = 4_194_304;
/** The maximum number of other hosts that are tried for one call. */
const MAX_RELAY_HOSTS = 2;

/** Options of {@link RelayedTransport}. */
export interface RelayedTransportOptions {
  /** The account of the responses of the store and of other hosts. */
  readonly internalResponses: ResponseMemory;
  readonly store: HttpAddress;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the other hosts' addresses in the order in which to try them. */
  readonly listPeers: () => readonly HttpAddress[];
}

/** Sends calls to the store directly or through another host. */
export class RelayedTransport extends StoreTransport {
  readonly #options: RelayedTransportOptions;
  readonly #sender: HttpSender;
  #isStoreUnavailable = false;
  #retryDirectAtMs = 0;

  constructor(options: RelayedTransportOptions) {
    super();
    this.#options = options;
    this.#sender = new HttpSender({
      port: "store",
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxConnections: MAX_CONNECTIONS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxBodyBytes: MAX_ANSWER_BYTES,
      memory: options.internalResponses,
    });
  }

  /** Whether the store is assumed to be reachable directly: false after a failed or rejected direct call. */
  get isDirect(): boolean {
    return !this.#isStoreUnavailable;
  }

  override async call(call: StoreCall): Promise<HttpResponse> {
    if (this.#isStoreUnavailable) {
      this.#startDueProbe();
      return await this.#callPeers(call) ?? await this.callDirect(call);
    }
    try {
      const answer = await this.callDirect(call);
      return isRejection(answer)
        ? await this.#callPeers(call) ?? answer
        : answer;
    } catch (error) {
      const isRetryable = error instanceof PortError &&
        (error.outcome === "not-run" || call.method === "GET");
      const relayed = isRetryable ? await this.#callPeers(call) : undefined;
      if (relayed === undefined) {
        throw error;
      }
      return relayed;
    }
  }

  /**
   * Sends a call directly to the store.
   *
   * @param call - The call to send.
   */
  async callDirect(call: StoreCall): Promise<HttpResponse> {
    try {
      const answer = await this.#send(this.#options.store, call);
      this.#setStoreUnavailable(isRejection(answer), `status ${answer.status}`);
      return answer;
    } catch (error) {
      this.#setStoreUnavailable(
        true,
        error instanceof PortError ? error.fault : "fault",
      );
      throw error;
    }
  }

  /** Closes all connections to the store and to other hosts. */
  close(): void {
    this.#sender.close();
  }

  /** The store is tried by a call of its own, as a host's own calls would wait for their timeout. */
  #startDueProbe(): void {
    const { clock, logger } = this.#options;
    const nowMs = clock.getMonotonicMs();
    if (nowMs < this.#retryDirectAtMs) {
      return;
    }
    this.#retryDirectAtMs = nowMs + DIRECT_RETRY_INTERVAL_MS;
    this.callDirect({
      method: "GET",
      path: `${LOG_OWNERS_PATH}?group=${PROBED_GROUP}`,
      timeoutMs: PROBE_TIMEOUT_MS,
      mayRelay: false,
    }).catch((error: unknown) =>
      logger.warn("store-probe-failed", { reason: String(error) })
    );
  }

  /** Relays a call through other hosts. Returns undefined if none could relay it and it has not run. */
  async #callPeers(call: StoreCall): Promise<HttpResponse | undefined> {
    if (!call.mayRelay) {
      return undefined;
    }
    for (const peer of this.#options.listPeers().slice(0, MAX_RELAY_HOSTS)) {
      try {
        const answer = await this.#send(peer, call);
        if (!isRejection(answer)) {
          return answer;
        }
      } catch (error) {
        this.#options.logger.error("relay-failed", error, {
          peer: peer.hostname,
        });
        const isRetryable = error instanceof PortError &&
          (error.outcome === "not-run" || call.method === "GET");
        if (!isRetryable) {
          throw error;
        }
      }
    }
    return undefined;
  }

  #send(address: HttpAddress, call: StoreCall): Promise<HttpResponse> {
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

  #setStoreUnavailable(isUnavailable: boolean, reason: string): void {
    if (isUnavailable !== this.#isStoreUnavailable) {
      const { logger } = this.#options;
      isUnavailable
        ? logger.warn("store-unavailable", { reason })
        : logger.warn("store-available", { reason });
    }
    this.#isStoreUnavailable = isUnavailable;
  }
}

/** Returns whether the store rejected the call without running it; it may serve other hosts meanwhile. */
function isRejection({ status }: HttpResponse): boolean {
  return status === 503 || status === 429;
}
