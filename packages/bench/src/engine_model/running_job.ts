/**
 * Tracks the progress of one job on the engine model.
 * @module
 */
import type { WeightVersion } from "@briarhill/common/ids/ids";
import type {
  EngineJobObserver,
  EngineJobResult,
  EngineJobStructure,
  ModelSpan,
} from "./engine_job.ts";

/** One job on the engine model, with its progress and the weight versions used. */
export class RunningJob {
  readonly structure: EngineJobStructure;
  readonly observer: EngineJobObserver;
  readonly sequence: number;
  readonly #spans: ModelSpan[] = [];
  #tokens: number;
  #hasFirstToken = false;

  constructor(
    structure: EngineJobStructure,
    options: {
      readonly observer: EngineJobObserver;
      readonly sequence: number;
    },
  ) {
    this.structure = structure;
    this.observer = options.observer;
    this.sequence = options.sequence;
    this.#tokens = structure.fromToken ?? 0;
  }

  /** Returns the number of steps until the next event of this job. */
  getStepsToEvent(): number {
    const remaining = this.structure.outputTokens - this.#tokens;
    return this.#hasFirstToken ? remaining : Math.min(1, remaining);
  }

  /** Returns the number of tokens to prefill when this job starts. */
  getPrefillTokens(): number {
    return this.structure.promptTokens + Math.floor(this.#tokens);
  }

  /**
   * Adds progress made with one version of the weights.
   *
   * @param steps - The number of decode steps, which may be fractional.
   * @param version - The version of the weights.
   */
  addSteps(steps: number, version: WeightVersion): void {
    const from = Math.floor(this.#tokens + 1e-6);
    this.#tokens = Math.min(
      this.structure.outputTokens,
      this.#tokens + steps,
    );
    const to = Math.floor(this.#tokens + 1e-6);
    if (to > from) {
      this.#addSpan({ fromToken: from, toToken: to, version });
    }
  }

  /** Notifies the observer once when the first token is generated. */
  reportFirstToken(): void {
    const generated = Math.floor(this.#tokens + 1e-6) -
      (this.structure.fromToken ?? 0);
    if (!this.#hasFirstToken && generated >= 1) {
      this.#hasFirstToken = true;
      this.observer.onFirstToken?.();
    }
  }

  /** Returns whether all tokens are generated. */
  isFinished(): boolean {
    return this.#tokens + 1e-6 >= this.structure.outputTokens;
  }

  /**
   * Returns the result of a job that ends now.
   *
   * @param outcome - The outcome to report.
   */
  getResult(outcome: EngineJobResult["outcome"]): EngineJobResult {
    return {
      id: this.structure.id,
      outcome,
      tokens: Math.floor(this.#tokens + 1e-6),
      spans: [...this.#spans],
    };
  }

  #addSpan(span: ModelSpan): void {
    const last = this.#spans.at(-1);
    if (last?.version === span.version) {
      this.#spans[this.#spans.length - 1] = { ...last, toToken: span.toToken };
    } else {
      this.#spans.push(span);
    }
  }
}

/**
 * Compares two jobs by priority, then by arrival, for sorting.
 *
 * @example
 * ```ts
 * queue.sort(compareJobs);
 * ```
 * @param a - One job.
 * @param b - The other job.
 */
export function compareJobs(a: RunningJob, b: RunningJob): number {
  return b.structure.priority - a.structure.priority ||
    a.sequence - b.sequence;
}
