/**
 * Puts the runner of a lot together.
 * @module
 */
import type { LotAppender } from "./lot_appender.ts";
import type { LotOwnerOptions } from "./lot_owner.ts";
import { LotRunner, type LotRunnerOptions } from "./lot_runner.ts";
import { ProgressKeeper } from "./progress_keeper.ts";
import { ResultSettler } from "./result_settler.ts";

/** What all runners need. */
export interface RunnerParts extends
  Omit<
    LotRunnerOptions,
    "settler" | "progress" | "takeEarlier"
  > {
  readonly appender: LotAppender;
}

/**
 * Returns a function that creates the runner of a lot.
 *
 * @example
 * ```ts
 * declare const parts: RunnerParts;
 *
 * const createRunner = createLotRunner(parts);
 * ```
 * @param parts - What all runners need.
 */
export function createLotRunner(
  parts: RunnerParts,
): LotOwnerOptions["createRunner"] {
  const { appender, clock } = parts;
  return (lot, partition, takeEarlier) =>
    new LotRunner(lot, {
      ...parts,
      takeEarlier,
      progress: new ProgressKeeper(lot.id, partition, appender),
      settler: new ResultSettler({
        lot: lot.id,
        partition,
        appender,
        clock,
        isOpen: () => lot.isOpen,
      }),
    });
}
