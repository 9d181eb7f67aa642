/**
 * Queues the pulls at the owner of a lot and answers them. A pull is answered
 * only from a read of the stream that started after the pull arrived.
 * @module
 */
import type { DeliveryLedger } from "./delivery_ledger.ts";
import type { LotBodies } from "./lot_bodies.ts";
import type {
  DeliveredSample,
  LotProgress,
  OwnerCommand,
  OwnerContext,
  PullStructure,
} from "./owner_command.ts";

/** Answers pulls with samples that are settled, held and not stale. */
export class PullQueue {
  readonly #ledger: DeliveryLedger;
  readonly #bodies: LotBodies;
  readonly #samplesInLot: number;
  readonly #pulls = new Map<string, PullStructure>();
  readonly #pullsBeforeRead = new Set<string>();
  #cursor: number | undefined;
  #deliveredAtMs: number | undefined;
  #fullyAnsweredAtMs: number | undefined;

  constructor(
    ledger: DeliveryLedger,
    options: { readonly bodies: LotBodies; readonly samplesInLot: number },
  ) {
    this.#ledger = ledger;
    this.#bodies = options.bodies;
    this.#samplesInLot = options.samplesInLot;
  }

  /** Returns the cursor of the last pull, or undefined before the first. */
  getCursor(): number | undefined {
    return this.#cursor;
  }

  /** Returns since when pulls have confirmed receipt of all samples. */
  getDeliveredAtMs(): number | undefined {
    return this.#deliveredAtMs;
  }

  /** Returns the trainer's progress through the lot. */
  getProgress(): Pick<LotProgress, "cursor" | "isDelivered" | "isShownWhole"> {
    return {
      cursor: this.#cursor ?? 0,
      isDelivered: this.#deliveredAtMs !== undefined,
      isShownWhole: this.#fullyAnsweredAtMs !== undefined,
    };
  }

  /** Returns since when answers have reached the end of the lot. */
  getFullyAnsweredAtMs(): number | undefined {
    return this.#fullyAnsweredAtMs;
  }

  /** Returns whether a pull is open. */
  hasPulls(): boolean {
    return this.#pulls.size > 0;
  }

  /**
   * Adds a pull.
   *
   * @param pull - The pull to answer.
   */
  addPull(pull: PullStructure): void {
    this.#pulls.set(pull.id, pull);
  }

  /** Records that a read of the stream starts, which covers all open pulls. */
  startSync(): void {
    for (const id of this.#pulls.keys()) {
      this.#pullsBeforeRead.add(id);
    }
  }

  /**
   * Removes a pull.
   *
   * @param id - The id of the pull.
   */
  removePull(id: string): void {
    this.#pulls.delete(id);
    this.#pullsBeforeRead.delete(id);
  }

  /** Removes all pulls and returns them. */
  drainPulls(): readonly PullStructure[] {
    const pulls = [...this.#pulls.values()];
    this.#pulls.clear();
    this.#pullsBeforeRead.clear();
    return pulls;
  }

  /**
   * Answers the pulls that arrived before the start of the read that has just
   * ended, and requests the generation of stale or missing samples.
   *
   * @param context - The time and the versions, read after the stream.
   */
  resolvePulls(context: OwnerContext): readonly OwnerCommand[] {
    const pulls = [...this.#pulls.values()]
      .filter((pull) => this.#pullsBeforeRead.has(pull.id));
    return pulls.flatMap((pull) =>
      pull.cursor > this.#ledger.countSettled()
        ? this.#abortPull(pull)
        : this.#resolvePull(pull, context)
    );
  }

  /** A cursor beyond the settled positions was never issued. */
  #abortPull(pull: PullStructure): readonly OwnerCommand[] {
    this.removePull(pull.id);
    return [{ kind: "reject", pull, settled: this.#ledger.countSettled() }];
  }

  #resolvePull(
    pull: PullStructure,
    context: OwnerContext,
  ): readonly OwnerCommand[] {
    this.#cursor = pull.cursor;
    this.#deliveredAtMs = pull.cursor === this.#samplesInLot
      ? this.#deliveredAtMs ?? context.nowMs
      : undefined;
    const closed = this.#ledger.getCloseReason();
    const wanted = closed === undefined
      ? this.#generateMissing(pull, context)
      : [];
    const samples = this.#listSamples(pull, context);
    const nextCursor = pull.cursor + samples.length;
    const isComplete = nextCursor >= this.#samplesInLot;
    if (samples.length === 0 && !isComplete && closed === undefined) {
      return wanted;
    }
    this.removePull(pull.id);
    this.#fullyAnsweredAtMs = isComplete
      ? this.#fullyAnsweredAtMs ?? context.nowMs
      : undefined;
    const answer = { samples, nextCursor, isComplete, closed };
    return [...wanted, { kind: "answer", pull, answer }];
  }

  #generateMissing(
    { cursor }: PullStructure,
    context: OwnerContext,
  ): readonly OwnerCommand[] {
    const stale = this.#bodies.generateStale(context, cursor);
    const slots: number[] = [];
    const end = this.#ledger.countSettled();
    for (let position = cursor; position < end; position++) {
      const settled = this.#ledger.getSettled(position);
      if (settled !== undefined) {
        slots.push(settled.slot);
      }
    }
    return [...stale, ...this.#bodies.generateSlots(slots)];
  }

  #listSamples(
    pull: PullStructure,
    context: OwnerContext,
  ): readonly DeliveredSample[] {
    const samples: DeliveredSample[] = [];
    while (samples.length < pull.limit) {
      const position = pull.cursor + samples.length;
      const settled = this.#ledger.getSettled(position);
      const sample = settled && this.#bodies.getDeliverable(settled, context);
      if (sample === undefined) {
        break;
      }
      samples.push({ position, sample });
    }
    return samples;
  }
}
