/**
 * Check that the log retains the records of a stream for the lifetime of its
 * keys.
 * @module
 */

const INDEX_ENTRIES_PER_LIFETIME = 24;

interface IndexEntry {
  readonly offset: number;
  readonly timeMs: number;
}

/**
 * Detects that the log drops records within their lifetime, from the times of
 * records that were read earlier and are no longer retained.
 */
export class RetentionCheck {
  readonly #lifetimeMs: number;
  #index: readonly IndexEntry[] = [];

  constructor(lifetimeMs: number) {
    this.#lifetimeMs = lifetimeMs;
  }

  /**
   * Adds a record to the index, unless the newest entry is less than one entry
   * interval older.
   *
   * @param record - The record's offset, and the time that the log assigned to it.
   */
  record(record: IndexEntry): void {
    const last = this.#index.at(-1);
    const entryIntervalMs = this.#lifetimeMs / INDEX_ENTRIES_PER_LIFETIME;
    if (last === undefined || record.timeMs - last.timeMs >= entryIntervalMs) {
      const { offset, timeMs } = record;
      this.#index = [...this.#index, { offset, timeMs }];
    }
  }

  /**
   * Removes index entries that the log no longer retains. Returns the age of
   * the youngest of their records if it was dropped within its lifetime.
   *
   * @param firstOffset - The oldest retained offset.
   * @param newestMs - The time that the log assigned to its newest record.
   */
  findDroppedAgeMs(firstOffset: number, newestMs: number): number | undefined {
    const dropped = this.#index.filter(({ offset }) => offset < firstOffset);
    this.#index = this.#index.filter(({ offset }) => offset >= firstOffset);
    const youngest = dropped.at(-1);
    const ageMs = youngest === undefined
      ? Infinity
      : newestMs - youngest.timeMs;
    return ageMs < this.#lifetimeMs ? ageMs : undefined;
  }
}
