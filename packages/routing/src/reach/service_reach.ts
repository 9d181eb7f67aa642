/**
 * Decides whether this host can open connections to the endpoints of one service.
 * Only probes over new connections may change the state: answers on old ones can
 * go on while new ones fail, and a single lost request says nothing.
 * @module
 */

/** Number of probe rounds in a row that have to reach an endpoint before the service counts as reached again. */
const ROUNDS_TO_REGAIN = 2;
/** Interval between two probe rounds while the service is lost, in milliseconds. */
const LOST_INTERVAL_MS = 300;
/** The same interval while no other host reaches the service either. */
const DOWN_INTERVAL_MS = 600;
/** Minimum interval between two rounds while the service is reached, in milliseconds; it bounds the connections that doubts open. */
const OPEN_INTERVAL_MS = 250;
/** Time before the first failed round in which requests may have been lost already, in milliseconds: the longest wait for an event of a stream. */
const UNNOTICED_MS = 2_500;
/** Minimum time between two rounds that losses elsewhere cause, in milliseconds. */
const CONFIRM_INTERVAL_MS = 2_000;
/** Time after which all hosts that have lost a service too have said so, in milliseconds: a probe round and the way through the store. */
const SHARED_MS = 800;
const MAX_LOSSES = 16;

/** Result of one probe round. */
export interface ProbeRound {
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Number of endpoints that were probed. */
  readonly probed: number;
  /** Number of endpoints that answered. */
  readonly reached: number;
  /** Number of endpoints that refused the connection at once. */
  readonly refused: number;
  /** Whether other hosts reach the service as far as is known. */
  readonly isReachedElsewhere: boolean;
}

/** Effect of a probe round. */
export type ReachChange = "lost" | "regained" | "none";

/** A time in which the service was lost to this host. */
interface Loss {
  readonly sinceMs: number;
  readonly untilMs: number;
  /** Whether all probes of the first round were refused. */
  readonly isRefused: boolean;
  /** In the last round. */
  readonly isReachedElsewhere: boolean;
  /** In the first round after all other hosts had time to find the same; undefined before it. */
  readonly isLinkLoss: boolean | undefined;
}

/** Whether this host reaches one service. All times are read from one monotonic clock. */
export class ServiceReach {
  #lastAnswerAtMs = -Infinity;
  #doubtedAtMs = -Infinity;
  #isConnectDoubted = false;
  #lastRoundAtMs = -Infinity;
  #confirmedAtMs = -Infinity;
  #reachedRounds = 0;
  #loss: Loss | undefined;
  #losses: readonly Loss[] = [];

  /** Whether no endpoint of the service accepts connections of this host. */
  get isLost(): boolean {
    return this.#loss !== undefined;
  }

  /** Whether other hosts reached the service in the last probe round while it is lost to this one. */
  get isReachedElsewhere(): boolean {
    return this.#loss?.isReachedElsewhere ?? true;
  }

  /**
   * Whether connections that were open when the service was lost may still work: new
   * ones are refused rather than silent, and nothing sent since then has failed.
   */
  get hasOpenConnections(): boolean {
    if (this.#loss === undefined) {
      return false;
    }
    const { sinceMs, isRefused } = this.#loss;
    return this.#doubtedAtMs > sinceMs
      ? this.#lastAnswerAtMs > this.#doubtedAtMs
      : isRefused || this.#lastAnswerAtMs > sinceMs;
  }

  /**
   * Records an answer of an endpoint.
   *
   * @param nowMs - The current time.
   */
  addAnswer(nowMs: number): void {
    this.#lastAnswerAtMs = nowMs;
  }

  /**
   * Records a request that has failed or has had no answer for long.
   *
   * @param sentAtMs - When it was sent.
   * @param isUnconnected - Whether no connection was established for it.
   */
  addDoubt(sentAtMs: number, isUnconnected: boolean): void {
    this.#isConnectDoubted ||= isUnconnected;
    // A refused connection says nothing about those that are open.
    if (!isUnconnected || this.#loss === undefined) {
      this.#doubtedAtMs = Math.max(this.#doubtedAtMs, sentAtMs);
    }
  }

  /**
   * Returns whether a probe round is due.
   *
   * @param nowMs - The current time.
   */
  shouldProbe(nowMs: number): boolean {
    if (this.#loss !== undefined) {
      return nowMs - this.#lastRoundAtMs >= this.#intervalMs;
    }
    const isDoubted = this.#isConnectDoubted ||
      this.#doubtedAtMs >= this.#lastAnswerAtMs;
    return isDoubted && this.#doubtedAtMs > -Infinity &&
      nowMs - this.#lastRoundAtMs >= OPEN_INTERVAL_MS;
  }

  /**
   * Returns whether a loss at another host or of another service calls for a probe
   * round, and counts it as made.
   *
   * @param nowMs - The current time.
   */
  shouldConfirm(nowMs: number): boolean {
    if (this.isLost || nowMs - this.#confirmedAtMs < CONFIRM_INTERVAL_MS) {
      return false;
    }
    this.#confirmedAtMs = nowMs;
    return true;
  }

  /**
   * Returns the time until the next round while the service is lost, in milliseconds.
   *
   * @param nowMs - The current time.
   */
  getNextRoundMs(nowMs: number): number {
    return Math.max(0, this.#lastRoundAtMs + this.#intervalMs - nowMs);
  }

  /**
   * Applies the result of a probe round.
   *
   * @param round - The result.
   */
  applyRound(round: ProbeRound): ReachChange {
    const { startedAtMs, endedAtMs, probed, reached, refused } = round;
    this.#lastRoundAtMs = startedAtMs;
    if (reached > 0) {
      this.#lastAnswerAtMs = endedAtMs;
      this.#isConnectDoubted = false;
      return this.#applyReached(endedAtMs);
    }
    this.#reachedRounds = 0;
    if (probed === 0) {
      return "none";
    }
    const { isReachedElsewhere } = round;
    const isNew = this.#loss === undefined;
    this.#loss = {
      sinceMs: this.#loss?.sinceMs ?? startedAtMs,
      untilMs: Infinity,
      isRefused: this.#loss?.isRefused ?? refused === probed,
      isReachedElsewhere,
      isLinkLoss: this.#loss?.isLinkLoss ??
        (this.getLostMs(endedAtMs) < SHARED_MS
          ? undefined
          : isReachedElsewhere),
    };
    return isNew ? "lost" : "none";
  }

  /**
   * Returns how long the service has been lost, in milliseconds; 0 if it is reached.
   *
   * @param nowMs - The current time.
   */
  getLostMs(nowMs: number): number {
    return this.#loss === undefined ? 0 : nowMs - this.#loss.sinceMs;
  }

  /**
   * Returns whether a request that was lost at a time may have been lost with this
   * host's links, so that it says nothing about its endpoint.
   *
   * @param lostAtMs - When the request was lost.
   */
  isLinkLoss(lostAtMs: number): boolean {
    const losses = this.#loss === undefined
      ? this.#losses
      : [...this.#losses, this.#loss];
    return losses.some(({ sinceMs, untilMs, isLinkLoss }) =>
      isLinkLoss !== false && lostAtMs >= sinceMs - UNNOTICED_MS &&
      lostAtMs <= untilMs
    );
  }

  get #intervalMs(): number {
    return this.isReachedElsewhere ? LOST_INTERVAL_MS : DOWN_INTERVAL_MS;
  }

  #applyReached(nowMs: number): ReachChange {
    this.#reachedRounds++;
    if (
      this.#loss === undefined || this.#reachedRounds < ROUNDS_TO_REGAIN
    ) {
      return "none";
    }
    this.#losses = [...this.#losses, { ...this.#loss, untilMs: nowMs }]
      .slice(-MAX_LOSSES);
    this.#loss = undefined;
    return "regained";
  }
}
