/**
 * Watches who sends to an endpoint that says in its answers that it is leaving.
 * @module
 */

/** A run that was sent on a connection whose host knew that the endpoint is leaving. */
export interface LateRun {
  readonly attemptId: string;
  /** The address and port of its connection's other end. */
  readonly connection: string;
  /** How long after the first answer that said so, in milliseconds. */
  readonly afterMs: number;
}

/** How long after an answer that says so a leaving endpoint may get new work, in milliseconds (a bound of the platform). */
const DRAIN_MS = 2_000;

/** Watches who sends to an endpoint that is leaving. */
export class LeavingWatch {
  /** Runs of hosts that knew of it for too long. All hosts share an address here, so that a connection tells them apart. */
  readonly lateRuns: LateRun[] = [];
  /** When it was first told on each connection, in milliseconds since 1970. */
  readonly #toldAtMs = new Map<string, number>();
  #isLeaving = false;

  /** Whether the endpoint says that it is leaving. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Says in all answers from now on that it is leaving. */
  start(): void {
    this.#isLeaving = true;
  }

  /** Takes work again, as another incarnation. */
  clear(): void {
    this.#isLeaving = false;
    this.#toldAtMs.clear();
  }

  /** Forgets who was told, as a host was frozen or restarted. */
  clearTold(): void {
    this.#toldAtMs.clear();
  }

  /**
   * Checks a run that begins now.
   *
   * @param attemptId - The request.
   * @param connection - The address and port of its connection's other end.
   */
  checkRun(attemptId: string, connection: string): void {
    if (!this.#isLeaving) {
      return;
    }
    const nowMs = Date.now();
    const toldAtMs = this.#toldAtMs.get(connection) ?? nowMs;
    this.#toldAtMs.set(connection, toldAtMs);
    const afterMs = nowMs - toldAtMs;
    if (afterMs > DRAIN_MS) {
      this.lateRuns.push({ attemptId, connection, afterMs });
    }
  }
}
