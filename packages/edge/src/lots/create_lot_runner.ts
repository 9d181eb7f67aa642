/**
 * Creates the runner of a lot from the parts that all runners share.
 * @module
 */
import type { LotAppender } from "./lot_appender.ts";
import type { LotOwnerOptions } from "./lot_owner.ts";
import { LotRunner, type LotRunnerOptions } from "./lot_runner.ts";
import { ProgressRecorder } from "./progress_recorder.ts";
import { ResultSettler } from "./result_settler.ts";

/** Options that all runners share. */
export interface SharedRunnerOptions extends
  Omit<
    LotRunnerOptions,
    "settler" | "progress" | "takeEarlierTask"
  > {
  readonly appender: LotAppender;
}

/**
 * Returns a function that creates the runner of a lot.
 *
 * @example
 * ```ts
 * declare const options: SharedRunnerOptions;
 *
 * const createRunner = createLotRunner(options);
 * ```
 * @param options - The options that all runners share.
 */
export function createLotRunner(
  options: SharedRunnerOptions,
): LotOwnerOptions["createRunner"] {
  const { appender, clock } = options;
  return (lot, partition, takeEarlierTask) =>
    new LotRunner(lot, {
      ...options,
      takeEarlierTask,
      progress: new ProgressRecorder(lot.id, partition, appender),
      settler: new ResultSettler({
        lot: lot.id,
        partition,
        appender,
        clock,
        isOpen: () => lot.isOpen,
      }),
    });
}
