/**
 * Picks the member that an attempt is assigned to, by prompt affinity and load.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";

const AFFINITY_LOAD_FACTOR = 1.25;
const MAX_AFFINITIES = 65_536;

/** A member that may be assigned an attempt. */
export interface PickedMember {
  readonly host: HostId;

  /** Returns the number of the member's active attempts. */
  countLoad(): number;
}

/**
 * Picks the member that got the last attempt of the same prompt, unless it
 * would then have more than 1.25 times the mean number of active attempts;
 * otherwise picks the member with the fewest.
 */
export class MemberPicker {
  readonly #hostByAffinity = new Map<string, HostId>();

  /**
   * Picks a member, or returns undefined if there is none.
   *
   * @param affinity - The key that attempts of one prompt share.
   * @param members - The members to pick from.
   */
  pickMember<Member extends PickedMember>(
    affinity: string,
    members: readonly Member[],
  ): Member | undefined {
    const picked = this.#findAffinityMember(affinity, members) ??
      members.reduce<Member | undefined>(
        (best, member) =>
          best === undefined || member.countLoad() < best.countLoad()
            ? member
            : best,
        undefined,
      );
    if (picked !== undefined) {
      this.#setAffinity(affinity, picked.host);
    }
    return picked;
  }

  #findAffinityMember<Member extends PickedMember>(
    affinity: string,
    members: readonly Member[],
  ): Member | undefined {
    const total = members.reduce((sum, member) => sum + member.countLoad(), 0);
    const limit = AFFINITY_LOAD_FACTOR * (total + 1) / members.length;
    const affinityHost = this.#hostByAffinity.get(affinity);
    return members.find((member) =>
      member.host === affinityHost && member.countLoad() + 1 <= limit
    );
  }

  #setAffinity(affinity: string, host: HostId): void {
    this.#hostByAffinity.delete(affinity);
    this.#hostByAffinity.set(affinity, host);
    if (this.#hostByAffinity.size > MAX_AFFINITIES) {
      const oldest = this.#hostByAffinity.keys().next().value ?? affinity;
      this.#hostByAffinity.delete(oldest);
    }
  }
}
