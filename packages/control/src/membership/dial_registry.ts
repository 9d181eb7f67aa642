/**
 * Registry of the dials in progress and of unreachable addresses, which are
 * retried with exponential backoff.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";

/** A dial in progress. */
export interface Dial {
  readonly address: string;
  /** The host that is expected at the address; undefined for seeds and probes. */
  readonly host: HostId | undefined;
  readonly startedMs: number;
}

interface DialFailures {
  readonly count: number;
  readonly retryAfterMs: number;
}

/** Options of a `DialRegistry`. */
export interface DialRegistryOptions {
  /** The delay after the first failed dial; it doubles with each further failure. */
  readonly redialDelayMs: number;
  /** The upper bound of the delay. */
  readonly maxRedialDelayMs: number;
}

/** Tracks dials in progress and failed dials. */
export class DialRegistry {
  readonly #options: DialRegistryOptions;
  readonly #dials = new Map<string, Dial>();
  readonly #failures = new Map<string, DialFailures>();

  constructor(options: DialRegistryOptions) {
    this.#options = options;
  }

  /**
   * Returns whether an address may be dialled now.
   *
   * @param address - The address.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  canDial(address: string, nowMs: number): boolean {
    return !this.#dials.has(address) && !this.isBackingOff(address, nowMs);
  }

  /**
   * Returns whether the backoff after a failed dial has not yet expired.
   *
   * @param address - The address.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  isBackingOff(address: string, nowMs: number): boolean {
    return (this.#failures.get(address)?.retryAfterMs ?? -Infinity) > nowMs;
  }

  /**
   * Returns the number of consecutive failed dials to an address.
   *
   * @param address - The address.
   */
  countFailures(address: string): number {
    return this.#failures.get(address)?.count ?? 0;
  }

  /**
   * Adds a dial in progress.
   *
   * @param dial - The dial.
   */
  addDial(dial: Dial): void {
    this.#dials.set(dial.address, dial);
  }

  /**
   * Returns the dial in progress to an address.
   *
   * @param address - The address.
   */
  getDial(address: string): Dial | undefined {
    return this.#dials.get(address);
  }

  /**
   * Removes and returns the dial to an address, once it has ended.
   *
   * @param address - The address.
   */
  removeDial(address: string): Dial | undefined {
    const dial = this.#dials.get(address);
    this.#dials.delete(address);
    return dial;
  }

  /**
   * Returns the dials that were started before a given time.
   *
   * @param beforeMs - The exclusive upper bound, in monotonic time.
   */
  listExpired(beforeMs: number): readonly Dial[] {
    return [...this.#dials.values()]
      .filter(({ startedMs }) => startedMs < beforeMs);
  }

  /**
   * Records a failed dial and returns the number of consecutive failures.
   *
   * @param address - The address.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  addFailure(address: string, nowMs: number): number {
    const count = this.countFailures(address) + 1;
    const backoffMs = Math.min(
      this.#options.maxRedialDelayMs,
      this.#options.redialDelayMs * 2 ** (count - 1),
    );
    this.#failures.set(address, { count, retryAfterMs: nowMs + backoffMs });
    return count;
  }

  /**
   * Clears the failures of an address that was reached.
   *
   * @param address - The address.
   */
  clearFailures(address: string): void {
    this.#failures.delete(address);
  }

  /**
   * Removes the failures of all addresses other than the given ones.
   *
   * @param addresses - The addresses to retain.
   */
  pruneFailures(addresses: ReadonlySet<string>): void {
    for (const address of this.#failures.keys()) {
      if (!addresses.has(address)) {
        this.#failures.delete(address);
      }
    }
  }
}
