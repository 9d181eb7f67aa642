/**
 * Accounts for the bytes that a host holds for others, and decides whose bytes
 * give way when there is no room.
 *
 * Load pattern: clients send many bodies of legal size at once, stop short of
 * their end and stay, or leave their answers unread. Each is small against the
 * memory of the host, all of them are not, and ordinary requests still need room.
 * @module
 */

/** The time without a byte received or sent after which a holding lingers, in milliseconds. */
const LINGERING_MS = 1_000;
/** Part of the limit that only small holdings may use. */
const RESERVE_DIVISOR = 8;
/** Part of the limit up to which a holding is small. */
const SMALL_DIVISOR = 64;

/**
 * What bytes are held for: a "body" is still received, so that its request can be
 * refused; a "request" runs and can't give way; a "connection" holds a head that
 * is still received or what its client has not read.
 */
export type HoldingKind = "body" | "request" | "connection";

/** The bytes that are held for one request or connection. */
export interface HoldingStructure {
  readonly id: number;
  readonly kind: HoldingKind;
  readonly bytes: number;
  /** The time at which its last byte was received or sent, on the monotonic clock. */
  readonly changedAtMs: number;
}

/** Whether a holding may grow, and the holdings that give way to it. */
export interface GrowthDecision {
  readonly isGranted: boolean;
  readonly dropped: readonly number[];
}

/** Accounts for the bytes that a host holds for others. */
export class ByteAccount {
  readonly #limitBytes: number;
  readonly #holdings = new Map<number, HoldingStructure>();
  #usedBytes = 0;
  #nextId = 0;

  /**
   * @param limitBytes - The number of bytes that may be held at once.
   */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** The number of bytes that are held. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Whether there is no room for anything more. */
  get isFull(): boolean {
    return this.#usedBytes >= this.#limitBytes;
  }

  /**
   * Adds a holding without bytes and returns its id.
   *
   * @param kind - What the bytes will be held for.
   * @param nowMs - The current time on the monotonic clock.
   */
  addHolding(kind: HoldingKind, nowMs: number): number {
    const id = this.#nextId++;
    this.#holdings.set(id, { id, kind, bytes: 0, changedAtMs: nowMs });
    return id;
  }

  /**
   * Removes a holding.
   *
   * @param id - The id of the holding.
   */
  removeHolding(id: number): void {
    this.#usedBytes -= this.#holdings.get(id)?.bytes ?? 0;
    this.#holdings.delete(id);
  }

  /**
   * Changes a holding, whether there is room or not; bytes that an endpoint has
   * sent for a request can't be refused any more.
   *
   * @param id - The id of the holding.
   * @param change - What changes.
   */
  updateHolding(
    id: number,
    change: Partial<Omit<HoldingStructure, "id">>,
  ): void {
    const holding = this.#holdings.get(id);
    if (holding !== undefined) {
      this.#usedBytes += (change.bytes ?? holding.bytes) - holding.bytes;
      this.#holdings.set(id, { ...holding, ...change });
    }
  }

  /**
   * Decides whether a holding may grow. If there is no room, holdings that linger
   * give way first, the largest of them first; then bodies that are larger than the
   * holding, the largest and newest first. Holdings that give way are removed.
   *
   * @param id - The id of the holding.
   * @param bytes - The number of bytes to add.
   * @param nowMs - The current time on the monotonic clock.
   */
  decideGrowth(
    id: number,
    { bytes, nowMs }: { readonly bytes: number; readonly nowMs: number },
  ): GrowthDecision {
    const holding = this.#holdings.get(id);
    if (holding === undefined) {
      return { isGranted: false, dropped: [] };
    }
    const grown = holding.bytes + bytes;
    const excess = this.#usedBytes + bytes - this.#getLimit(grown);
    const dropped = excess > 0
      ? this.#selectDropped({ ...holding, bytes: grown }, excess, nowMs)
      : [];
    if (dropped === undefined) {
      return { isGranted: false, dropped: [] };
    }
    dropped.forEach((dropped) => this.removeHolding(dropped));
    this.updateHolding(id, { bytes: grown, changedAtMs: nowMs });
    return { isGranted: true, dropped };
  }

  #getLimit(bytes: number): number {
    const isSmall = bytes <= this.#limitBytes / SMALL_DIVISOR;
    return isSmall
      ? this.#limitBytes
      : this.#limitBytes * (1 - 1 / RESERVE_DIVISOR);
  }

  /** Returns undefined if too few bytes can give way. */
  #selectDropped(
    holding: HoldingStructure,
    excess: number,
    nowMs: number,
  ): readonly number[] | undefined {
    const others = [...this.#holdings.values()].filter(({ id, bytes, kind }) =>
      id !== holding.id && bytes > 0 && kind !== "request"
    );
    const isLingering = ({ changedAtMs }: HoldingStructure) =>
      nowMs - changedAtMs >= LINGERING_MS;
    const larger = others.filter((other) =>
      !isLingering(other) && other.kind === "body" &&
      other.bytes > holding.bytes
    );
    const dropped: number[] = [];
    let freed = 0;
    for (
      const other of [
        ...others.filter(isLingering).sort(compareSize),
        ...larger.sort(compareSize),
      ]
    ) {
      if (freed >= excess) {
        break;
      }
      dropped.push(other.id);
      freed += other.bytes;
    }
    return freed >= excess ? dropped : undefined;
  }
}

/** Sorts the largest first, and the newest of equal ones. */
function compareSize(left: HoldingStructure, right: HoldingStructure): number {
  return right.bytes - left.bytes || right.id - left.id;
}
