/**
 * Puts the runner of a lot together.
 * @module
 */
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import type { LotAppender } from "./lot_appender.ts";
import { LotRunner, type LotRunnerOptions } from "./lot_runner.ts";
import { ResultSettler } from "./result_settler.ts";

/** What all runners need. */
export interface RunnerParts extends Omit<LotRunnerOptions, "settler"> {
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
): (lot: LedgerLot, partition: number) => LotRunner {
  const { appender, clock } = parts;
  return (lot, partition) =>
    new LotRunner(lot, {
      ...parts,
      settler: new ResultSettler({
        lot: lot.id,
        partition,
        appender,
        clock,
        isOpen: () => lot.isOpen,
      }),
    });
}
