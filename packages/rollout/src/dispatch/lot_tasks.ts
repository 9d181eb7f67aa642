/**
 * Holds the open samples of one lot, and the order in which they start.
 *
 * Under load, the trainer waits for complete groups until a deadline, and a few
 * samples run many times longer than the rest: a long sample that starts only
 * when its group's turn comes ends long after all others. The long samples of
 * all groups therefore start first. The other samples start group by group, the
 * groups with the longest samples first, so that some groups become complete
 * while others wait.
 * @module
 */
import type { SampleId } from "@briarhill/common/ids/ids";
import type { LedgerLot } from "../ledger/ledger_lot.ts";
import type { SampleProgress } from "../ledger/lot_request.ts";
import { SampleTask } from "./sample_task.ts";

/**
 * A sample is long if it has this many times the expected tokens of the median
 * sample; hints are often off by less.
 */
const LONG_RATIO = 2;

/** The open samples of one lot. */
export class LotTasks {
  readonly lot: LedgerLot;
  readonly #tasks = new Map<SampleId, SampleTask>();
  readonly #sortedTasks: readonly SampleTask[];

  /**
   * @param lot - The lot; its samples resume from the progress that earlier owners have logged.
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
    this.#sortedTasks = sortTasks([...this.#tasks.values()]);
  }

  /** Whether results of the lot may still be settled. */
  get isOpen(): boolean {
    return this.lot.isOpen;
  }

  /**
   * Returns the task of a sample, or undefined if its result had already been
   * settled.
   *
   * @param sample - The sample.
   */
  getTask(sample: SampleId): SampleTask | undefined {
    return this.#tasks.get(sample);
  }

  /** Returns all tasks in the order in which they start. */
  listTasks(): readonly SampleTask[] {
    return this.#sortedTasks;
  }

  /** Returns the tasks that are not done and whose results are not settled. */
  listOpen(): readonly SampleTask[] {
    return this.#sortedTasks.filter(({ request, phase }) =>
      phase !== "done" && !this.lot.isSettled(request.id)
    );
  }

  /**
   * Returns the tasks whose samples may be generated now, the next one first.
   *
   * @param nowMs - The current time on the monotonic clock.
   */
  listWaiting(nowMs: number): readonly SampleTask[] {
    return this.listOpen().filter(({ phase, notBeforeMs }) =>
      phase === "waiting" && notBeforeMs <= nowMs
    );
  }

  /**
   * Returns the events that samples have gained since their progress was last
   * logged.
   *
   * @param minEvents - The minimum number of new events for which a sample's progress is logged.
   */
  takeProgress(minEvents: number): readonly SampleProgress[] {
    return this.listOpen().flatMap((task) =>
      task.takeProgress(minEvents) ?? []
    );
  }

  /**
   * Returns the tasks whose samples may be scored now.
   *
   * @param nowMs - The current time on the monotonic clock.
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
