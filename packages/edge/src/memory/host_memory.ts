/**
 * Holds the account of the bytes that a host holds for its clients, for all
 * readers and writers of the process.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import {
  ByteAccount,
  type HoldingKind,
} from "@briarhill/routing/admission/byte_account";

/** Part of the memory of the process that may be held for clients; the rest is the program, its state and what is released but not collected yet. */
const HELD_DIVISOR = 5;
/** The least number of bytes that may be held: a body of the largest size that the platform allows by default, and the reserve for small ones. */
const MIN_HELD_BYTES = 38_400_000;

/** Options of {@link HostMemory}. */
export interface HostMemoryOptions {
  readonly clock: Clock;
  /** The memory limit of the process, in bytes. */
  readonly memoryBytes: number;
}

/** The bytes that a host holds for its clients. */
export class HostMemory {
  readonly #clock: Clock;
  readonly #account: ByteAccount;
  readonly #onDropped = new Map<number, () => void>();

  constructor({ clock, memoryBytes }: HostMemoryOptions) {
    this.#clock = clock;
    this.#account = new ByteAccount(
      Math.max(memoryBytes / HELD_DIVISOR, MIN_HELD_BYTES),
    );
  }

  /** The number of bytes that are held. */
  get usedBytes(): number {
    return this.#account.usedBytes;
  }

  /** Whether there is no room for anything more. */
  get isFull(): boolean {
    return this.#account.isFull;
  }

  /**
   * Opens a holding without bytes; it must be released.
   *
   * @param kind - What the bytes will be held for.
   * @param onDropped - Called when the holding has given way to another one.
   */
  openHolding(kind: HoldingKind, onDropped: () => void): Holding {
    const id = this.#account.addHolding(kind, this.#clock.getMonotonicMs());
    this.#onDropped.set(id, onDropped);
    return {
      acquire: (bytes) => this.#acquire(id, bytes),
      setBytes: (bytes) => this.#account.updateHolding(id, { bytes }),
      setRunning: () => this.#account.updateHolding(id, { kind: "request" }),
      setProgress: () =>
        this.#account.updateHolding(id, {
          changedAtMs: this.#clock.getMonotonicMs(),
        }),
      release: () => {
        this.#account.removeHolding(id);
        this.#onDropped.delete(id);
      },
    };
  }

  #acquire(id: number, bytes: number): boolean {
    const nowMs = this.#clock.getMonotonicMs();
    const { isGranted, dropped } = this.#account
      .decideGrowth(id, { bytes, nowMs });
    for (const other of dropped) {
      const onDropped = this.#onDropped.get(other);
      this.#onDropped.delete(other);
      onDropped?.();
    }
    return isGranted;
  }
}

/** The bytes that are held for one request or connection. */
export interface Holding {
  /** Adds bytes and returns true, or returns false if there is no room. */
  readonly acquire: (bytes: number) => boolean;
  /** Sets the number of bytes, whether there is room or not. */
  readonly setBytes: (bytes: number) => void;
  /** From now on, the bytes belong to a request that runs and can't give way. */
  readonly setRunning: () => void;
  /** Records that a byte was received or sent. */
  readonly setProgress: () => void;
  readonly release: () => void;
}
