/**
 * Constructor parameters of the membership.
 * @module
 */
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { MemberRecord } from "./member_record.ts";
import type { MembershipOptions } from "./membership_options.ts";

/** Constructor parameters of a `Membership`. */
export interface MembershipSetup {
  /** The record of the local host. */
  readonly self: MemberRecord;
  /** The addresses of hosts through which to join. */
  readonly seeds: readonly string[];
  readonly options: MembershipOptions;
  readonly random: SeededRandom;
}
