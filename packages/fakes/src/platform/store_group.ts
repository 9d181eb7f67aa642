/**
 * A group of readers in the stand-in of the platform's store.
 * @module
 */

interface GroupMember {
  readonly name: string;
  readonly seenAtMs: number;
  readonly ttlMs: number;
}

/** A group: its members, and which of them holds which partition. */
export class StoreGroup {
  readonly #partitions: number;
  readonly #holders = new Map<number, string>();
  #members: readonly GroupMember[] = [];
  #topics: readonly string[] = [];
  #generation = 0;
  #shift = 0;

  constructor(partitions: number) {
    this.#partitions = partitions;
  }

  /**
   * Adds a member or keeps it, and returns what it holds. A partition passes
   * to another member once its holder has called, left or gone silent.
   *
   * @param call - The member and its topics.
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
    this.#members = [...others, { name: member, seenAtMs: Date.now(), ttlMs }]
      .toSorted((a, b) => a.name < b.name ? -1 : 1);
    this.#assignFree(member);
    const parts = this.listRows().filter((row) => row[2] === member)
      .map(([topic, partition]) => [topic, partition, 0]);
    return { generation: this.#generation, ttlMs, parts };
  }

  /**
   * Removes a member.
   *
   * @param member - The member.
   */
  leave(member: string): void {
    this.#members = this.#members.filter(({ name }) => name !== member);
    this.#generation++;
    this.#assignFree(member);
  }

  /** Deals all partitions anew, without waiting for their holders. */
  assignAnew(): void {
    this.#shift++;
    this.#generation++;
    this.#holders.clear();
    this.#assignFree("");
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

  /** Gives every partition without a live holder, or held by the caller, to the member whose turn it is. */
  #assignFree(caller: string): void {
    const alive = new Set(this.#members.map(({ name }) => name));
    for (let part = 0; part < this.#partitions; part++) {
      const holder = this.#holders.get(part);
      const isKept = holder !== undefined && holder !== caller &&
        alive.has(holder);
      const index = (part + this.#shift) % Math.max(1, this.#members.length);
      const next = this.#members[index]?.name;
      if (!isKept && next !== undefined) {
        this.#holders.set(part, next);
      }
    }
  }

  #prune(): void {
    const nowMs = Date.now();
    const alive = this.#members.filter(({ seenAtMs, ttlMs }) =>
      nowMs - seenAtMs < ttlMs
    );
    if (alive.length < this.#members.length) {
      this.#members = alive;
      this.#generation++;
    }
  }
}
