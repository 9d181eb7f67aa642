/**
 * One lot as the shared log tells it.
 * @module
 */
import type { LotId, SampleId } from "@briarhill/common/ids/ids";
import type {
  LotProgress,
  LotRequest,
  SampleProgress,
  SampleResult,
} from "./lot_request.ts";

/** One lot as the shared log tells it: its samples, its settled results, whether it has ended. */
export class LedgerLot {
  readonly id: LotId;
  readonly request: LotRequest;
  readonly #results: SampleResult[] = [];
  readonly #settled = new Set<SampleId>();
  readonly #samples: ReadonlySet<SampleId>;
  /** The progress of each sample by its writer. */
  readonly #progress = new Map<SampleId, Map<string, SampleProgress>>();
  #hasEnded = false;

  constructor(request: LotRequest) {
    this.id = request.id;
    this.request = request;
    this.#samples = new Set(request.samples.map(({ id }) => id));
  }

  /** Whether its trainer has ended it. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether results may still be settled. */
  get isOpen(): boolean {
    return !this.#hasEnded && this.#settled.size < this.#samples.size;
  }

  /** The settled results; the index is the position. */
  get results(): readonly SampleResult[] {
    return this.#results;
  }

  /**
   * Tells whether a sample has a settled result.
   *
   * @param sample - The sample.
   */
  isSettled(sample: SampleId): boolean {
    return this.#settled.has(sample);
  }

  /**
   * Settles results; one of a sample that has a result, or is not of this lot, is ignored.
   *
   * @param results - The results, in the order of their record.
   */
  settleResults(results: readonly SampleResult[]): void {
    for (const result of results) {
      const { sample } = result;
      if (this.#samples.has(sample) && !this.#settled.has(sample)) {
        this.#settled.add(sample);
        this.#progress.delete(sample);
        this.#results.push(result);
      }
    }
  }

  /**
   * Adds what was generated of samples; what does not follow on the events
   * known so far of its writer is ignored. Two hosts may generate a sample at
   * once, and their texts differ.
   *
   * @param progress - What the samples have gained.
   */
  addProgress({ writer, samples }: LotProgress): void {
    for (const next of samples) {
      const writers = this.#progress.get(next.sample) ?? new Map();
      const known: SampleProgress | undefined = writers.get(writer);
      const count = known?.texts.length ?? 0;
      const isUseful = this.#samples.has(next.sample) &&
        !this.#settled.has(next.sample) && !this.#hasEnded;
      if (isUseful && next.fromEvent === count) {
        const texts = [...known?.texts ?? [], ...next.texts];
        writers.set(writer, { ...next, fromEvent: 0, texts });
        this.#progress.set(next.sample, writers);
      }
    }
  }

  /**
   * Returns the longest text that one writer has generated of a sample that
   * has no result, if any.
   *
   * @param sample - The sample.
   */
  getProgress(sample: SampleId): SampleProgress | undefined {
    const texts = [...this.#progress.get(sample)?.values() ?? []];
    return texts.toSorted((a, b) => b.texts.length - a.texts.length)[0];
  }

  /** Ends the lot; results that are settled later are still listed. */
  close(): void {
    this.#hasEnded = true;
    this.#progress.clear();
  }
}
