/**
 * Checks that hosts stop sending attempts to an endpoint whose responses report
 * that it is leaving.
 * @module
 */

/**
 * An attempt that was sent on a connection whose host had been notified too
 * long ago that the endpoint is leaving.
 */
export interface LateAttempt {
  readonly attemptId: string;
  /** The remote address and port of the connection. */
  readonly connection: string;
  /** The time since the first response on the connection that reported it, in milliseconds. */
  readonly afterMs: number;
}

/**
 * How long a leaving endpoint may receive new attempts after a response that
 * reports it, in milliseconds (a limit of the platform).
 */
const DRAIN_GRACE_MS = 2_000;

/** Records attempts that are sent too late to an endpoint that is leaving. */
export class LeavingMonitor {
  /**
   * Attempts sent after the grace period. Hosts share one IP address on
   * loopback, so that notifications are tracked by connection.
   */
  readonly lateRuns: LateAttempt[] = [];
  /** The time of the first notification on each connection, in milliseconds since 1970. */
  readonly #notifiedAtMs = new Map<string, number>();
  #isLeaving = false;

  /** Whether the endpoint's responses report that it is leaving. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Makes all responses from now on report that the endpoint is leaving. */
  start(): void {
    this.#isLeaving = true;
  }

  /** Ends the leaving state and accepts attempts again, as a new incarnation. */
  clear(): void {
    this.#isLeaving = false;
    this.#notifiedAtMs.clear();
  }

  /**
   * Clears the recorded notifications, since a frozen or restarted host may not
   * have processed them.
   */
  clearNotifications(): void {
    this.#notifiedAtMs.clear();
  }

  /**
   * Checks an attempt that starts now; the first one on a connection counts as its
   * notification.
   *
   * @param attemptId - The id of the attempt.
   * @param connection - The remote address and port of the connection.
   */
  checkAttempt(attemptId: string, connection: string): void {
    if (!this.#isLeaving) {
      return;
    }
    const nowMs = Date.now();
    const notifiedAtMs = this.#notifiedAtMs.get(connection) ?? nowMs;
    this.#notifiedAtMs.set(connection, notifiedAtMs);
    const afterMs = nowMs - notifiedAtMs;
    if (afterMs > DRAIN_GRACE_MS) {
      this.lateRuns.push({ attemptId, connection, afterMs });
    }
  }
}
