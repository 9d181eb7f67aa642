/**
 * The duplicate policy for stragglers near the end of a lot.
 * @module
 */
import { DuplicatePolicy, type StragglerStatus } from "./duplicate_policy.ts";

const MAX_RUNNING_SHARE = 0.05;
const MIN_SPEEDUP = 1.5;

/**
 * Duplicates a straggler when few samples remain and another engine would be
 * clearly faster than its own.
 */
export class TailDuplicates extends DuplicatePolicy {
  override shouldDuplicate(straggler: StragglerStatus): boolean {
    return straggler.runningShare <= MAX_RUNNING_SHARE &&
      straggler.newTokensPerMs > straggler.tokensPerMs * MIN_SPEEDUP;
  }
}
