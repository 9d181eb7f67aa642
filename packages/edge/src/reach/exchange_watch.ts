/**
 * Watches the exchanges with endpoints for progress, and tells the reach monitor
 * of those that have stalled or failed. A stalled exchange is only a doubt: the
 * endpoint may be slow.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Clock, Timer } from "@briarhill/common/time/clock";
import type { IncomingMessage } from "node:http";
import type { ReachMonitor } from "./reach_monitor.ts";

/** Interval between checks while exchanges are open, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Time without a byte after which an exchange has stalled, in milliseconds; several times the usual pause between events. */
const STALLED_MS = 200;

/** Options of {@link ExchangeWatch}. */
export interface ExchangeWatchOptions {
  readonly clock: Clock;
  readonly reach: ReachMonitor;
}

/** One open exchange with an endpoint. */
class WatchedExchange {
  readonly #watch: ExchangeWatch;
  readonly #options: ExchangeWatchOptions;
  readonly #service: string;
  #response: IncomingMessage | undefined;
  #receivedBytes = 0;
  #lastProgressMs: number;

  constructor(
    watch: ExchangeWatch,
    service: string,
    options: ExchangeWatchOptions,
  ) {
    this.#watch = watch;
    this.#service = service;
    this.#options = options;
    this.#lastProgressMs = options.clock.getMonotonicMs();
  }

  /**
   * Sets the response, once its head has arrived.
   *
   * @param response - The response.
   */
  setResponse(response: IncomingMessage): void {
    this.#response = response;
    this.#receivedBytes = response.socket?.bytesRead ?? 0;
    this.#lastProgressMs = this.#options.clock.getMonotonicMs();
  }

  /**
   * Records the error that ended the exchange.
   *
   * @param error - The error.
   * @param signal - The signal that may have cancelled the exchange.
   */
  addError(error: unknown, signal?: AbortSignal): void {
    if (error instanceof PortError && signal?.aborted !== true) {
      const isUnconnected = error.fault === "refused";
      const { reach } = this.#options;
      reach.addDoubt(this.#service, this.#lastProgressMs, isUnconnected);
    }
  }

  /** Checks whether bytes have arrived since the last check. */
  advance(): void {
    const { clock, reach } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const receivedBytes = this.#response?.socket?.bytesRead ?? 0;
    if (receivedBytes > this.#receivedBytes) {
      this.#receivedBytes = receivedBytes;
      this.#lastProgressMs = nowMs;
      reach.addAnswer(this.#service);
    } else if (nowMs - this.#lastProgressMs >= STALLED_MS) {
      reach.addDoubt(this.#service, this.#lastProgressMs);
    }
  }

  /** Ends the watch of this exchange. */
  close(): void {
    this.#watch.removeExchange(this);
  }
}

/** Watches all open exchanges of a host with one timer. */
export class ExchangeWatch {
  readonly #options: ExchangeWatchOptions;
  readonly #exchanges = new Set<WatchedExchange>();
  #timer: Timer | undefined;

  constructor(options: ExchangeWatchOptions) {
    this.#options = options;
  }

  /**
   * Starts to watch an exchange that is about to be sent.
   *
   * @param service - The service of its endpoint.
   */
  addExchange(service: string): WatchedExchange {
    const exchange = new WatchedExchange(this, service, this.#options);
    this.#exchanges.add(exchange);
    this.#timer ??= this.#scheduleCheck();
    return exchange;
  }

  /**
   * Stops watching an exchange.
   *
   * @param exchange - The exchange.
   */
  removeExchange(exchange: WatchedExchange): void {
    this.#exchanges.delete(exchange);
  }

  /** Stops watching all exchanges. */
  close(): void {
    this.#exchanges.clear();
    this.#timer?.cancel();
  }

  #scheduleCheck(): Timer {
    return this.#options.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.#exchanges.forEach((exchange) => exchange.advance());
      this.#timer = this.#exchanges.size > 0
        ? this.#scheduleCheck()
        : undefined;
    });
  }
}
