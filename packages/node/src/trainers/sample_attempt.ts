/**
 * Runs one attempt of a sample on this host: generates and scores it.
 * @module
 */
import { RefusedError } from "@briarhill/common/errors/errors";
import type { Contract } from "@briarhill/contract/contract/contract";
import type {
  SampleEnd,
  SampleWork,
} from "@briarhill/rollout/assignment/sample_work";
import { StalenessRule } from "@briarhill/rollout/staleness/staleness_rule";
import { VersionHistory } from "@briarhill/rollout/staleness/version_history";
import { randomUUID } from "node:crypto";
import type { Generator } from "../generation/generator.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { WeightVersions } from "../weights/weight_versions.ts";
import { SampleGeneration } from "./sample_generation.ts";
import type { SampleScoring } from "./sample_scoring.ts";

const RETRY_MS = 200;

/** Dependencies that all attempts share. */
export interface SampleAttemptDependencies {
  readonly context: NodeContext;
  readonly generator: Generator;
  readonly scoring: SampleScoring;
  readonly weights: WeightVersions;
}

/** One attempt of a sample on this host. */
export class SampleAttempt {
  readonly #dependencies: SampleAttemptDependencies;
  readonly #work: SampleWork;
  readonly #contract: Contract;
  readonly #generation: SampleGeneration;
  #isGenerated = false;

  constructor(
    dependencies: SampleAttemptDependencies,
    options: { readonly work: SampleWork; readonly contract: Contract },
  ) {
    this.#dependencies = dependencies;
    this.#work = options.work;
    this.#contract = options.contract;
    this.#generation = new SampleGeneration({
      ...options,
      requestId: randomUUID(),
      nowMs: dependencies.context.clock.getMonotonicMs(),
    });
  }

  /** Cancels the generation, including the call at its engine. */
  cancel(): void {
    this.#generation.cancel();
  }

  /** Cancels the generation if its sample would exceed the staleness bound. */
  cancelStale(): void {
    if (!this.#isGenerated && !this.#canResume()) {
      this.cancel();
    }
  }

  /**
   * Runs the attempt to its end and returns the result.
   *
   * @param onGenerated - Called once the text is complete, with its number of tokens.
   */
  async run(onGenerated: (tokens: number) => void): Promise<SampleEnd> {
    try {
      const sample = await this.#generation.run(this.#dependencies.generator);
      if (sample === undefined) {
        return { kind: "broken", retryAfterMs: 0 };
      }
      this.#isGenerated = true;
      onGenerated(sample.tokens);
      const call = {
        prompt: this.#work.group.prompt,
        scorer: this.#contract.structure.training?.scorer,
      };
      const scored = await this.#dependencies.scoring.scoreSample(sample, call);
      return { kind: "finished", sample: scored };
    } catch (error) {
      return this.#buildBroken(error);
    }
  }

  #buildBroken(error: unknown): SampleEnd {
    const isRefused = error instanceof RefusedError;
    const isCancelled = this.#generation.isCancelled();
    if (!isRefused && !isCancelled) {
      this.#dependencies.context.logger.error("sample-failed", error);
    }
    const waitMs = isRefused ? Math.max(error.retryAfterMs, 1) : RETRY_MS;
    const retryAfterMs = isCancelled ? 0 : waitMs;
    const { text, tokens, spans } = this.#generation.assembly.getText();
    return this.#canResume() && tokens > 0
      ? { kind: "broken", retryAfterMs, prefix: { text, tokens, spans } }
      : { kind: "broken", retryAfterMs };
  }

  /** Returns whether another attempt may resume after the tokens so far. */
  #canResume(): boolean {
    const { training } = this.#contract.structure;
    const { assembly } = this.#generation;
    if (training === undefined || assembly.getState() !== "open") {
      return false;
    }
    const { context, weights } = this.#dependencies;
    const versions = weights.getVersions(this.#work.lot.model);
    const rule = new StalenessRule(training.staleness);
    return rule.isWithinBound(assembly.getSpans(), {
      wallMs: context.clock.getWallMs(),
      history: new VersionHistory(versions),
    });
  }
}
