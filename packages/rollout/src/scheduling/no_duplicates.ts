/**
 * The duplicate policy that starts no duplicates.
 * @module
 */
import { DuplicatePolicy } from "./duplicate_policy.ts";

/** Never starts a duplicate. */
export class NoDuplicates extends DuplicatePolicy {
  override shouldDuplicate(): boolean {
    return false;
  }
}
