/**
 * Throttle of training, controlled by the load reports of the engines.
 * @module
 */

const DECREASE_FACTOR = 0.8;
const INCREASE_STEP = 0.05;
const MIN_SHARE = 0.1;
/** Ratio of requests to slots at the engines above which the training share is decreased. */
const OVERCOMMIT_TOLERANCE = 1.02;

/**
 * Decreases the training share multiplicatively while the engines hold more
 * requests than slots, and increases it additively otherwise. Both sides of a
 * network partition still share the engines, so the load reports bound the
 * overcommitment when each side assumes that it owns all slots.
 */
export class TrainingThrottle {
  #share = 1;

  /** Returns the fraction of the slots that training may use, from 0 to 1. */
  get share(): number {
    return this.#share;
  }

  /**
   * Applies one round of load reports.
   *
   * @param reports - The numbers of requests and slots of each engine.
   */
  applyReports(
    reports: readonly {
      readonly running: number;
      readonly queued: number;
      readonly slots: number;
    }[],
  ): void {
    let requestCount = 0;
    let slots = 0;
    for (const report of reports) {
      requestCount += report.running + report.queued;
      slots += report.slots;
    }
    this.#share = requestCount > slots * OVERCOMMIT_TOLERANCE
      ? Math.max(MIN_SHARE, this.#share * DECREASE_FACTOR)
      : Math.min(1, this.#share + INCREASE_STEP);
  }
}
