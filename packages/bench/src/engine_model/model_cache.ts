/**
 * Models the prefix cache of an engine.
 * @module
 */

const MAX_EVENTS = 1000;

/** A change to the cache. */
export interface ModelCacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefixHash: string;
}

/** A cache of prompt prefixes that evicts the least recently used one. */
export class ModelCache {
  readonly #capacity: number;
  readonly #prefixes = new Map<string, true>();
  #events: ModelCacheEvent[] = [];
  #sequence = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * Adds a prefix and returns whether it was already cached.
   *
   * @param prefixHash - The hash of the prefix.
   */
  add(prefixHash: string): boolean {
    const isHit = this.#prefixes.delete(prefixHash);
    this.#prefixes.set(prefixHash, true);
    if (!isHit) {
      this.#addEvent("stored", prefixHash);
    }
    const oldest = this.#prefixes.keys().next();
    if (this.#prefixes.size > this.#capacity && !oldest.done) {
      this.#prefixes.delete(oldest.value);
      this.#addEvent("evicted", oldest.value);
    }
    return isHit;
  }

  /** Removes all prefixes. */
  clear(): void {
    this.#prefixes.clear();
  }

  /**
   * Lists the changes after a sequence number.
   *
   * @param after - The last sequence number that the caller knows.
   */
  listEvents(after: number): readonly ModelCacheEvent[] {
    return this.#events.filter(({ sequence }) => sequence > after);
  }

  #addEvent(kind: ModelCacheEvent["kind"], prefixHash: string): void {
    this.#events.push({ sequence: this.#sequence++, kind, prefixHash });
    if (this.#events.length > MAX_EVENTS) {
      this.#events = this.#events.slice(MAX_EVENTS / 2);
    }
  }
}
