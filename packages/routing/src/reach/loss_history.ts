/**
 * Remembers when a service was lost to this host alone, so that requests that were
 * lost then are not taken for signs of their endpoints.
 * @module
 */

/** Time before the first failed round in which requests may have been lost already, in milliseconds: the longest wait for an event of a stream. */
const UNNOTICED_MS = 2_500;
const MAX_LOSSES = 16;

/** A time in which the service was lost to this host. */
export interface ServiceLoss {
  readonly sinceMs: number;
  readonly untilMs: number;
  /** Whether all probes of the first round were refused. */
  readonly isRefused: boolean;
  /** What other hosts answered last; undefined before they did. */
  readonly isReachedElsewhere: boolean | undefined;
  /** What they answered first. */
  readonly isLinkLoss: boolean | undefined;
}

/** The times in which one service was lost to this host. */
export class LossHistory {
  #losses: readonly ServiceLoss[] = [];

  /**
   * Adds a loss that has ended.
   *
   * @param loss - The loss.
   */
  addLoss(loss: ServiceLoss): void {
    this.#losses = [...this.#losses, loss].slice(-MAX_LOSSES);
  }

  /**
   * Returns whether a request that was lost at a time may have been lost with this
   * host's links.
   *
   * @param lostAtMs - When the request was lost.
   * @param current - The loss that has not ended, if there is one.
   */
  isLinkLoss(lostAtMs: number, current: ServiceLoss | undefined): boolean {
    const losses = current === undefined
      ? this.#losses
      : [...this.#losses, current];
    return losses.some(({ sinceMs, untilMs, isLinkLoss }) =>
      isLinkLoss !== false && lostAtMs >= sinceMs - UNNOTICED_MS &&
      lostAtMs <= untilMs
    );
  }
}
