/**
 * Decides whether this host can open connections to the endpoints of one service.
 * Only probes over new connections may change the state: answers on old ones can
 * go on while new ones fail, and a single lost request says nothing.
 * @module
 */
import { LossHistory, type ServiceLoss } from "./loss_history.ts";

/** Number of probe rounds in a row that have to reach an endpoint before the service counts as reached again. */
const ROUNDS_TO_REGAIN = 2;
/** Interval between two probe rounds while the service is lost, in milliseconds. */
const LOST_INTERVAL_MS = 300;
/** The same interval while no other host reaches the service either. */
const DOWN_INTERVAL_MS = 450;
/** The same interval once a round has reached an endpoint. */
const REGAIN_INTERVAL_MS = 100;
/** Minimum interval between two rounds while the service is reached, in milliseconds; it bounds the connections that doubts open. */
const OPEN_INTERVAL_MS = 250;
/** Minimum time between two rounds that losses elsewhere cause, in milliseconds. */
const CONFIRM_INTERVAL_MS = 2_000;
/** Time for which an answer shows that the service is reached, or a round that it is lost, in milliseconds. */
const JUST_KNOWN_MS = 300;
/** Minimum time between two queries to other hosts once they have answered, in milliseconds. */
const ASK_INTERVAL_MS = 1_000;

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
}

/** Effect of a probe round. */
export type ReachChange = "lost" | "regained" | "none";

/** Whether this host reaches one service. All times are read from one monotonic clock. */
export class ServiceReach {
  #lastAnswerAtMs = -Infinity;
  #doubtedAtMs = -Infinity;
  #isConnectDoubted = false;
  #lastRoundAtMs = -Infinity;
  #confirmedAtMs = -Infinity;
  #askedAtMs = -Infinity;
  #reachedRounds = 0;
  #loss: ServiceLoss | undefined;
  readonly #losses = new LossHistory();

  /** Whether no endpoint of the service accepts connections of this host. */
  get isLost(): boolean {
    return this.#loss !== undefined;
  }

  /** Whether another host has confirmed that it reaches the service while this one does not; undefined if none was asked. */
  get isReachedElsewhere(): boolean | undefined {
    return this.#loss?.isReachedElsewhere;
  }

  /**
   * Returns whether other hosts are to be asked whether they reach the service, and
   * counts it as done.
   *
   * @param nowMs - The current time.
   */
  shouldAskHosts(nowMs: number): boolean {
    const isDue = this.isLost &&
      (this.isReachedElsewhere === undefined ||
        nowMs - this.#askedAtMs >= ASK_INTERVAL_MS);
    this.#askedAtMs = isDue ? nowMs : this.#askedAtMs;
    return isDue;
  }

  /**
   * Records whether another host reaches the service just now.
   *
   * @param isReached - Whether one does.
   */
  setReachedElsewhere(isReached: boolean): void {
    if (this.#loss !== undefined) {
      this.#loss = {
        ...this.#loss,
        isReachedElsewhere: isReached,
        isLinkLoss: this.#loss.isLinkLoss ?? isReached,
      };
    }
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
   * Returns whether a probe round is needed to tell another host whether the service
   * is reached just now.
   *
   * @param nowMs - The current time.
   */
  shouldVerify(nowMs: number): boolean {
    const knownAtMs = this.isLost ? this.#lastRoundAtMs : this.#lastAnswerAtMs;
    return nowMs - knownAtMs >= JUST_KNOWN_MS;
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
    const isNew = this.#loss === undefined;
    this.#loss ??= {
      sinceMs: startedAtMs,
      untilMs: Infinity,
      isRefused: refused === probed,
      isReachedElsewhere: undefined,
      isLinkLoss: undefined,
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
    return this.#losses.isLinkLoss(lostAtMs, this.#loss);
  }

  get #intervalMs(): number {
    if (this.#reachedRounds > 0) {
      return REGAIN_INTERVAL_MS;
    }
    return this.isReachedElsewhere === false
      ? DOWN_INTERVAL_MS
      : LOST_INTERVAL_MS;
  }

  #applyReached(nowMs: number): ReachChange {
    this.#reachedRounds++;
    if (
      this.#loss === undefined || this.#reachedRounds < ROUNDS_TO_REGAIN
    ) {
      return "none";
    }
    this.#losses.addLoss({ ...this.#loss, untilMs: nowMs });
    this.#loss = undefined;
    return "regained";
  }
}
