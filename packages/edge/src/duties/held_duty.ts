/**
 * Performs a duty in steps while this host holds the lease. What a holder knows is
 * read anew in each term, as another host may have acted in between.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { DutyLease } from "./duty_caller.ts";

/** Options of {@link HeldDuty}. */
export interface HeldDutyOptions {
  readonly clock: Clock;
  readonly lease: DutyLease;
  /** Interval between steps while this host holds the lease, in milliseconds. */
  readonly holderIntervalMs: number;
  /** Interval between checks of the lease while another host holds it, in milliseconds. */
  readonly idleIntervalMs: number;
}

/** A duty of the host that holds the lease; a `Term` is what it knows since it has gained it. */
export abstract class HeldDuty<Term> {
  readonly #heldOptions: HeldDutyOptions;
  readonly #stopping = new AbortController();
  #term: Term | undefined;

  constructor(options: HeldDutyOptions) {
    this.#heldOptions = options;
  }

  /** Starts to perform the duty whenever this host holds the lease. */
  start(): void {
    void this.#run();
  }

  /** Stops performing the duty. */
  stop(): void {
    this.#stopping.abort();
    this.#finishTerm();
  }

  /** Begins to read what the holder has to know. */
  protected abstract openTerm(): Term;

  /**
   * Stops reading.
   *
   * @param term - The term that has ended.
   */
  protected abstract closeTerm(term: Term): void;

  /**
   * Performs the next step.
   *
   * @param term - What is known in this term.
   */
  protected abstract advanceTerm(term: Term): Promise<void>;

  async #run(): Promise<void> {
    const { clock, lease, holderIntervalMs, idleIntervalMs } =
      this.#heldOptions;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      if (lease.isHolder) {
        await this.advanceTerm(this.#term ??= this.openTerm());
      } else {
        this.#finishTerm();
      }
      const pauseMs = lease.isHolder ? holderIntervalMs : idleIntervalMs;
      await clock.sleep(pauseMs, signal);
    }
  }

  #finishTerm(): void {
    if (this.#term !== undefined) {
      this.closeTerm(this.#term);
      this.#term = undefined;
    }
  }
}
