/**
 * Runs the state machine of a lot's owner: executes its commands against the log
 * and the pulls, and feeds the results back.
 * @module
 */
import { InputError, PortError } from "@briarhill/common/errors/errors";
import type { Timer } from "@briarhill/common/time/clock";
import type { LotOwner } from "@briarhill/rollout/delivery/lot_owner";
import type {
  OwnerCommand,
  OwnerContext,
  PullAnswer,
  PullStructure,
} from "@briarhill/rollout/delivery/owner_command";
import type { SampleStructure } from "@briarhill/rollout/samples/sample_structure";
import { VersionHistory } from "@briarhill/rollout/staleness/version_history";
import type { LotRunnerOptions } from "./lot_runner_options.ts";

/** The result of a pull on this host. */
export type PullOutcome = PullAnswer | "lost" | "expired";

interface PendingPull {
  readonly resolve: (outcome: PullOutcome) => void;
  readonly reject: (error: Error) => void;
}

/** Executes the commands of one lot's owner. */
export class LotRunner {
  readonly owner: LotOwner;
  readonly #options: LotRunnerOptions;
  readonly #pendingPulls = new Map<string, PendingPull>();
  readonly #ownership: Promise<void>;
  #resolveOwnership: () => void = () => {};
  #pullCount = 0;
  #timer: Timer | undefined;
  #hasEnded = false;

  constructor(options: LotRunnerOptions) {
    this.owner = options.owner;
    this.#options = options;
    this.#ownership = new Promise((resolve) =>
      this.#resolveOwnership = resolve
    );
  }

  /** Starts to claim the lot; resolves once it is known who owns it. */
  start(): Promise<void> {
    this.handleTick();
    return this.#ownership;
  }

  /** Returns the time and the weight versions that decisions depend on. */
  getContext(): OwnerContext {
    const { context, weights, lot } = this.#options;
    const versions = weights.getVersions(lot.structure.model);
    return {
      nowMs: context.clock.getMonotonicMs(),
      wallMs: context.clock.getWallMs(),
      history: new VersionHistory(versions),
    };
  }

  /**
   * Pulls samples; waits until at least one is available.
   *
   * @param pull - The cursor, the limit and the wait time.
   * @param signal - Aborts the wait.
   */
  async pull(
    pull: Omit<PullStructure, "id"> & { readonly waitMs: number },
    signal?: AbortSignal,
  ): Promise<PullOutcome> {
    const { clock } = this.#options.context;
    const id = `${this.#pullCount++}`;
    const startedMs = clock.getMonotonicMs();
    const ended = new AbortController();
    const outcome = new Promise<PullOutcome>((resolve, reject) =>
      this.#pendingPulls.set(id, { resolve, reject })
    );
    this.#apply(this.owner.handlePull({ ...pull, id }, this.getContext()));
    const limit = AbortSignal.any(
      signal ? [signal, ended.signal] : [ended.signal],
    );
    const timeout = clock.sleep(pull.waitMs, limit)
      .then(() => "expired" as const);
    try {
      return await Promise.race([outcome, timeout]);
    } finally {
      ended.abort();
      this.#pendingPulls.delete(id);
      this.owner.removePull(id);
      const waitedMs = clock.getMonotonicMs() - startedMs;
      this.#options.metrics.addWait(waitedMs);
    }
  }

  /**
   * Records a finished sample and passes it to the owner.
   *
   * @param sample - The sample.
   */
  handleFinished(sample: SampleStructure): void {
    const context = this.getContext();
    this.#options.metrics.addFinished(context.nowMs);
    this.#apply(this.owner.handleFinished(sample, context));
  }

  /** Handles new weight versions and elapsed deadlines. */
  handleTick(): void {
    this.#apply(this.owner.handleTick(this.getContext()));
  }

  /** Starts to cancel the lot; does not wait for the log. */
  cancel(): void {
    this.#apply(this.owner.handleCancel(this.getContext()));
  }

  /** Makes the owner read the log after another host has taken the lot over. */
  handleHandOver(): void {
    void this.pull({ cursor: 0, limit: 1, waitMs: 0 });
  }

  /** Stops the lot's timer and ends its pulls; called when the process stops. */
  stop(): void {
    this.#hasEnded = true;
    this.#timer?.cancel();
    this.#pendingPulls.forEach(({ resolve }) => resolve("lost"));
  }

  #apply(commands: readonly OwnerCommand[]): void {
    commands.forEach((command) => this.#applyOne(command));
    this.#timer?.cancel();
    const wakeMs = this.owner.getNextTickMs();
    if (wakeMs !== undefined && !this.#hasEnded) {
      const { clock } = this.#options.context;
      const delayMs = Math.max(1, wakeMs - clock.getMonotonicMs());
      this.#timer = clock.setTimer(delayMs, () => this.handleTick());
    }
  }

  #applyOne(command: OwnerCommand): void {
    switch (command.kind) {
      case "sync":
        void this.#readStream(command.from);
        break;
      case "append":
        void this.#append(command);
        break;
      case "generate":
        this.#options.onGenerate(command.slots);
        break;
      case "answer":
        this.#resolvePull(command);
        break;
      case "reject":
        this.#pendingPulls.get(command.pull.id)?.reject(
          new InputError(
            `the cursor is ${command.pull.cursor}, beyond the ` +
              `${command.settled} positions settled so far`,
          ),
        );
        break;
      case "lost":
      case "closed":
        this.#finish(command.kind);
    }
  }

  async #readStream(from: number): Promise<void> {
    const { log, lot, weights } = this.#options;
    try {
      const page = await log.readPage(lot.structure, from);
      await weights.fetchNewest(lot.structure.model);
      this.#apply(this.owner.handleSynced(page, this.getContext()));
    } catch (error) {
      this.#handleFailure(error, "failed");
    }
    if (this.owner.getPhase() !== "seeking") {
      this.#resolveOwnership();
    }
  }

  async #append(
    { record }: Extract<OwnerCommand, { kind: "append" }>,
  ): Promise<void> {
    const { log, lot } = this.#options;
    try {
      await log.append(lot.structure, record);
      this.#apply(this.owner.handleLogEnd("maybe-done", this.getContext()));
    } catch (error) {
      const isUnknown = !(error instanceof PortError) ||
        error.outcome !== "not-run";
      this.#handleFailure(error, isUnknown ? "maybe-done" : "failed");
    }
  }

  #handleFailure(error: unknown, outcome: "failed" | "maybe-done"): void {
    const { context, lot } = this.#options;
    context.logger.error("lot-log-failed", error, { lot: lot.structure.id });
    this.#apply(this.owner.handleLogEnd(outcome, this.getContext()));
  }

  #resolvePull(
    { pull, answer }: Extract<OwnerCommand, { kind: "answer" }>,
  ): void {
    const pending = this.#pendingPulls.get(pull.id);
    if (pending !== undefined) {
      const { rule, metrics } = this.#options;
      metrics.addAnswer(answer, { rule, context: this.getContext() });
      pending.resolve(answer);
    }
    if (answer.isComplete) {
      this.#options.onDelivered();
    }
  }

  #finish(reason: "lost" | "closed"): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#resolveOwnership();
      this.#pendingPulls.forEach(({ resolve }) => resolve("lost"));
      this.#options.onEnd(reason);
    }
  }
}
