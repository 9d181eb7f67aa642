/**
 * A consumer group of the store stand-in: assigns partitions to members.
 * @module
 */

interface GroupMember {
  readonly name: string;
  readonly lastCallAtMs: number;
  readonly ttlMs: number;
}

/** Holds the members of a consumer group and the assignment of partitions to them. */
export class StoreGroup {
  readonly #partitions: number;
  readonly #holders = new Map<number, string>();
  #members: readonly GroupMember[] = [];
  #topics: readonly string[] = [];
  #generation = 0;
  #assignmentShift = 0;

  constructor(partitions: number) {
    this.#partitions = partitions;
  }

  /**
   * Adds a member or renews its membership, and returns the partitions that it
   * holds. A partition is reassigned only when its holder calls, leaves or exceeds
   * its TTL without a call.
   *
   * @param call - The member, its topics and its TTL.
   */
  join(call: {
    readonly member: string;
    readonly topics: readonly string[];
    readonly ttlMs: number;
  }) {
    const { member, topics, ttlMs } = call;
    this.#prune();
    this.#topics = topics;
    const others = this.#members.filter(({ name }) => name !== member);
    if (others.length === this.#members.length) {
      this.#generation++;
    }
    this.#members = [...others, {
      name: member,
      lastCallAtMs: Date.now(),
      ttlMs,
    }]
      .toSorted((a, b) => a.name < b.name ? -1 : 1);
    this.#assignFreePartitions(member);
    const parts = this.listRows().filter((row) => row[2] === member)
      .map(([topic, partition]) => [topic, partition, 0]);
    return { generation: this.#generation, ttlMs, parts };
  }

  /**
   * Removes a member and reassigns its partitions.
   *
   * @param member - The name of the member.
   */
  leave(member: string): void {
    this.#members = this.#members.filter(({ name }) => name !== member);
    this.#generation++;
    this.#assignFreePartitions(member);
  }

  /** Reassigns all partitions at once, without waiting for their holders to call. */
  assignAllPartitions(): void {
    this.#assignmentShift++;
    this.#generation++;
    this.#holders.clear();
    this.#assignFreePartitions("");
  }

  /** Returns rows of topic, partition, member and offset. */
  listRows(): readonly (readonly [string, number, string, number])[] {
    const topic = this.#topics[0] ?? "";
    return [...this.#holders].map(([partition, member]) => [
      topic,
      partition,
      member,
      0,
    ]);
  }

  /**
   * Assigns each partition that has no live holder or that the caller holds to
   * a member, in round-robin order.
   */
  #assignFreePartitions(caller: string): void {
    const alive = new Set(this.#members.map(({ name }) => name));
    for (let partition = 0; partition < this.#partitions; partition++) {
      const holder = this.#holders.get(partition);
      const isRetained = holder !== undefined && holder !== caller &&
        alive.has(holder);
      const index = (partition + this.#assignmentShift) %
        Math.max(1, this.#members.length);
      const next = this.#members[index]?.name;
      if (!isRetained && next !== undefined) {
        this.#holders.set(partition, next);
      }
    }
  }

  #prune(): void {
    const nowMs = Date.now();
    const alive = this.#members.filter((
      { lastCallAtMs, ttlMs },
    ) => nowMs - lastCallAtMs < ttlMs);
    if (alive.length < this.#members.length) {
      this.#members = alive;
      this.#generation++;
    }
  }
}
