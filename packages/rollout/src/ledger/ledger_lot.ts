/**
 * Holds the state of one lot, as the records of the shared log define it.
 * Applying the same records in the same order gives the same state on every
 * host.
 * @module
 */
import type { LotId, SampleId } from "@briarhill/common/ids/ids";
import type {
  LotProgress,
  LotRequest,
  SampleProgress,
  SampleResult,
} from "./lot_request.ts";

/**
 * The state of one lot in the shared log: its samples, its settled results, and
 * whether it has ended.
 */
export class LedgerLot {
  readonly id: LotId;
  readonly request: LotRequest;
  readonly #results: SampleResult[] = [];
  readonly #settled = new Set<SampleId>();
  readonly #samples: ReadonlySet<SampleId>;
  /** The progress of each sample, by writer. */
  readonly #progress = new Map<SampleId, Map<string, SampleProgress>>();
  #hasEnded = false;

  constructor(request: LotRequest) {
    this.id = request.id;
    this.request = request;
    this.#samples = new Set(request.samples.map(({ id }) => id));
  }

  /** Whether the trainer has ended the lot. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether results may still be settled. */
  get isOpen(): boolean {
    return !this.#hasEnded && this.#settled.size < this.#samples.size;
  }

  /** The settled results; the index of a result is its position. */
  get results(): readonly SampleResult[] {
    return this.#results;
  }

  /**
   * Returns whether a sample has a settled result.
   *
   * @param sample - The sample.
   */
  isSettled(sample: SampleId): boolean {
    return this.#settled.has(sample);
  }

  /**
   * Settles results; ignores those of samples that already have one or are not
   * in this lot.
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
   * Adds newly generated events; ignores events that do not directly follow the
   * known events of the same writer. Two hosts may generate a sample at the
   * same time, and their texts differ.
   *
   * @param progress - The new events of the samples, and their writer.
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
   * Returns the longest progress of a single writer for a sample without a
   * result, if any.
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
