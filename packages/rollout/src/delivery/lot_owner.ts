/**
 * Settles the finished samples of a lot and answers pulls, without any I/O.
 * @module
 */
import type { SampleStructure } from "../samples/sample_structure.ts";
import { AppendPacer } from "./append_pacer.ts";
import { DeliveryLedger, type DeliveryPage } from "./delivery_ledger.ts";
import type { DeliveryRecord } from "./delivery_record.ts";
import { LogCall } from "./log_call.ts";
import {
  buildClaim,
  DEFAULT_RETAINED_SAMPLES,
  type LotOwnerOptions,
} from "./lot_claim.ts";
import { LotBodies } from "./lot_bodies.ts";
import { LotClosing } from "./lot_closing.ts";
import { LotLifecycle, type LotPhase } from "./lot_lifecycle.ts";
import type {
  LotProgress,
  OwnerCommand,
  OwnerContext,
  PullStructure,
} from "./owner_command.ts";
import { PullQueue } from "./pull_queue.ts";

/**
 * A lot on a host that owns or claims it. At most one call of the log is in
 * flight, and a pull is answered only from state read after the pull arrived,
 * so that a replaced owner detects the takeover before it answers.
 */
export class LotOwner {
  readonly ledger: DeliveryLedger = new DeliveryLedger();
  readonly bodies: LotBodies;
  readonly #options: LotOwnerOptions;
  readonly #samplesInLot: number;
  readonly #pulls: PullQueue;
  readonly #pacer: AppendPacer;
  readonly #call = new LogCall();
  readonly #lifecycle = new LotLifecycle();
  readonly #closing: LotClosing;

  constructor(options: LotOwnerOptions) {
    this.#options = options;
    this.#samplesInLot = options.lot.getSampleCount();
    this.bodies = new LotBodies(this.ledger, options.rule);
    this.#pulls = new PullQueue(this.ledger, {
      bodies: this.bodies,
      samplesInLot: this.#samplesInLot,
    });
    this.#pacer = new AppendPacer(this.#samplesInLot);
    this.#closing = new LotClosing(this.#pulls, options.retainMs);
  }

  /** Returns the phase of the lot on this host. */
  getPhase(): LotPhase {
    return this.#lifecycle.getPhase();
  }

  /** Returns the progress of the lot. */
  getProgress(): LotProgress {
    return {
      samples: this.#samplesInLot,
      wanted: this.bodies.countWanted(),
      held: this.bodies.countHeld(),
      settled: this.ledger.countSettled(),
      ...this.#pulls.getProgress(),
    };
  }

  /** Returns when to call {@link LotOwner.handleTick} next, or undefined. */
  getNextTickMs(): number | undefined {
    return this.#call.getRetryAtMs() ?? this.#pacer.getDueMs() ??
      this.#closing.getDueMs();
  }

  /**
   * Handles a pull. A later command answers it.
   *
   * @param pull - The pull to answer.
   * @param context - The time and the announced versions.
   */
  handlePull(
    pull: PullStructure,
    context: OwnerContext,
  ): readonly OwnerCommand[] {
    this.#pulls.addPull(pull);
    this.#call.scheduleSync();
    return this.#decide(context);
  }

  /**
   * Removes a pull whose trainer disconnected or whose wait timed out.
   *
   * @param id - The id of the pull.
   */
  removePull(id: string): void {
    this.#pulls.removePull(id);
  }

  /**
   * Handles a finished sample. A second one for the same slot is dropped.
   *
   * @param sample - The finished sample.
   * @param context - The time and the announced versions.
   */
  handleFinished(
    sample: SampleStructure,
    context: OwnerContext,
  ): readonly OwnerCommand[] {
    const isNew = this.getPhase() === "owning" &&
      this.bodies.addSample(sample);
    return isNew ? this.#decide(context) : [];
  }

  /**
   * Handles the page that a sync command has read.
   *
   * @param page - The records from the command's offset to the stream's end.
   * @param context - The time, and the announced versions, read after the page.
   */
  handleSynced(
    page: DeliveryPage,
    context: OwnerContext,
  ): readonly OwnerCommand[] {
    this.#call.handleSynced();
    const phaseBefore = this.getPhase();
    this.ledger.applyPage(page);
    const phase = this.#lifecycle.advance(this.ledger, this.#options);
    if (phase === "lost") {
      return [{ kind: "lost", pulls: this.#pulls.drainPulls() }];
    }
    if (phase === "seeking") {
      return this.#decide(context);
    }
    const hasStartedOwning = phaseBefore === "seeking" && phase === "owning";
    const started = hasStartedOwning ? this.#startOwning(context) : [];
    this.bodies.updateUnsettled();
    const answers = this.#pulls.resolvePulls(context);
    this.bodies.pruneAcknowledged(
      this.#pulls.getCursor() ?? 0,
      this.#options.retainedSamples ?? DEFAULT_RETAINED_SAMPLES,
    );
    return [...started, ...answers, ...this.#decide(context)];
  }

  /**
   * Handles the end of an append, or a read that failed. An append that may
   * have succeeded is read back: state changes only by records that were read.
   *
   * @param outcome - `failed` if the call certainly had no effect.
   * @param context - The time and the announced versions.
   */
  handleLogEnd(
    outcome: "failed" | "maybe-done",
    context: OwnerContext,
  ): readonly OwnerCommand[] {
    this.#call.handleEnd(outcome, context.nowMs);
    return this.#decide(context);
  }

  /**
   * Handles newly announced versions or elapsed time.
   *
   * @param context - The time and the announced versions.
   */
  handleTick(context: OwnerContext): readonly OwnerCommand[] {
    return [...this.#generateStale(context), ...this.#decide(context)];
  }

  /**
   * Cancels the lot, which takes effect once its close record is in the log.
   *
   * @param context - The time and the announced versions.
   */
  handleCancel(context: OwnerContext): readonly OwnerCommand[] {
    this.#closing.cancel();
    return this.#decide(context);
  }

  #startOwning(context: OwnerContext): readonly OwnerCommand[] {
    this.#pacer.start(context.nowMs);
    this.bodies.addHandedOver(this.#options.adopted ?? []);
    const slots = this.ledger.listOpenSlots(this.#samplesInLot);
    return this.bodies.generateSlots(slots);
  }

  #decide(context: OwnerContext): readonly OwnerCommand[] {
    if (!this.#call.canStart(context.nowMs)) {
      return [];
    }
    const commands = this.#call.isBehind() ? [] : this.#decideAppend(context);
    if (!this.#call.canStart(context.nowMs)) {
      return commands;
    }
    return this.#call.isBehind() || this.#call.isSyncRequested()
      ? [...commands, this.#startSync()]
      : commands;
  }

  #startSync(): OwnerCommand {
    this.#call.startSync();
    this.#pulls.startSync();
    return { kind: "sync", from: this.ledger.getNextOffset() };
  }

  /** An append precedes a read that pulls request, lest they delay it. */
  #decideAppend(context: OwnerContext): readonly OwnerCommand[] {
    switch (this.getPhase()) {
      case "seeking":
        return this.#append(buildClaim(this.#options));
      case "owning":
        return this.#appendProgress(context);
      case "closed":
        return [{ kind: "closed" }];
      case "lost":
        return [];
    }
  }

  #append(record: DeliveryRecord): readonly OwnerCommand[] {
    this.#call.startAppend();
    return [{ kind: "append", record }];
  }

  #appendProgress(context: OwnerContext): readonly OwnerCommand[] {
    const epoch = this.ledger.getEpoch();
    const reason = this.#closing.getReason(context.nowMs);
    if (reason !== undefined) {
      return this.#append({ kind: "close", epoch, reason });
    }
    const input = {
      hasOpenPull: this.#pulls.hasPulls(),
      unsettled: this.bodies.countUnsettled(),
      unfinished: this.bodies.countWanted(),
    };
    if (!this.#pacer.isDue(input, context.nowMs)) {
      return [];
    }
    const commands = this.#generateStale(context);
    const samples = this.bodies.listUnsettled();
    this.#pacer.clearWait();
    const record = { kind: "settle", epoch, samples } as const;
    return [...commands, ...(samples.length > 0 ? this.#append(record) : [])];
  }

  #generateStale(context: OwnerContext): readonly OwnerCommand[] {
    return this.bodies.generateStale(context, this.#pulls.getCursor() ?? 0);
  }
}
