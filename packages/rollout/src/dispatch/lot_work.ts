/**
 * The open work of one lot, and which of its samples goes next.
 *
 * Load pattern: the trainer waits for whole groups by a due time, and a few
 * samples run many times longer than the rest: a long one that starts when its
 * group's turn comes ends long after all others. Long samples of all groups
 * start first; then groups are worked on one after the other, those with the
 * longest samples first, so that groups become whole while others wait.
 * @module
 */
import type { SampleId } from "@briarhill/common/ids/ids";
import type { LedgerLot } from "../ledger/ledger_lot.ts";
import type { SampleProgress } from "../ledger/lot_request.ts";
import { SampleTask } from "./sample_task.ts";

/** A sample is long with this many times the tokens of the median; hints are often off by less. */
const LONG_RATIO = 2;

/** The open work of one lot. */
export class LotWork {
  readonly lot: LedgerLot;
  readonly #tasks = new Map<SampleId, SampleTask>();
  readonly #order: readonly SampleTask[];

  /**
   * @param lot - The lot; its samples go on from what earlier owners have kept.
   */
  constructor(lot: LedgerLot) {
    this.lot = lot;
    for (const sample of lot.request.samples) {
      if (!lot.isSettled(sample.id)) {
        const task = new SampleTask(sample);
        const progress = lot.getProgress(sample.id);
        if (progress !== undefined) {
          task.resume(progress);
        }
        this.#tasks.set(sample.id, task);
      }
    }
    this.#order = sortTasks([...this.#tasks.values()]);
  }

  /** Whether samples are left. */
  get isOpen(): boolean {
    return this.lot.isOpen;
  }

  /**
   * Returns the work on a sample, or undefined where it has a settled result from before.
   *
   * @param sample - The sample.
   */
  getTask(sample: SampleId): SampleTask | undefined {
    return this.#tasks.get(sample);
  }

  /** Returns all samples whose work has begun or is still to do. */
  listTasks(): readonly SampleTask[] {
    return this.#order;
  }

  /** Returns all samples that have no settled result. */
  listOpen(): readonly SampleTask[] {
    return this.#order.filter(({ request, phase }) =>
      phase !== "done" && !this.lot.isSettled(request.id)
    );
  }

  /**
   * Returns the samples that may be generated now, the next one first.
   *
   * @param nowMs - The time, on the monotonic clock.
   */
  listWaiting(nowMs: number): readonly SampleTask[] {
    return this.listOpen().filter(({ phase, notBeforeMs }) =>
      phase === "waiting" && notBeforeMs <= nowMs
    );
  }

  /**
   * Returns what samples have gained since they were last kept.
   *
   * @param minEvents - How many events of a sample are worth keeping.
   */
  takeProgress(minEvents: number): readonly SampleProgress[] {
    return this.listOpen().flatMap((task) =>
      task.takeProgress(minEvents) ?? []
    );
  }

  /**
   * Returns the samples that may be scored now.
   *
   * @param nowMs - The time, on the monotonic clock.
   */
  listUnscored(nowMs: number): readonly SampleTask[] {
    return this.listOpen().filter(({ phase, notBeforeMs }) =>
      phase === "unscored" && notBeforeMs <= nowMs
    );
  }
}

function sortTasks(tasks: readonly SampleTask[]): readonly SampleTask[] {
  const lengths = tasks.map(({ request }) => request.expectedTokens)
    .toSorted((a, b) => a - b);
  const median = lengths[Math.floor(lengths.length / 2)] ?? 0;
  const isLong = ({ request }: SampleTask) =>
    request.expectedTokens >= LONG_RATIO * median;
  const long = tasks.filter(isLong).toSorted((a, b) =>
    b.request.expectedTokens - a.request.expectedTokens
  );
  return [...long, ...sortByGroup(tasks.filter((task) => !isLong(task)))];
}

function sortByGroup(tasks: readonly SampleTask[]): readonly SampleTask[] {
  const longest = new Map<string, number>();
  for (const { request: { group, expectedTokens } } of tasks) {
    longest.set(group, Math.max(longest.get(group) ?? 0, expectedTokens));
  }
  return [...tasks].sort(({ request: a }, { request: b }) =>
    (longest.get(b.group) ?? 0) - (longest.get(a.group) ?? 0) ||
    (a.group === b.group
      ? b.expectedTokens - a.expectedTokens
      : a.group < b.group
      ? -1
      : 1)
  );
}
