/**
 * The announced weight versions of one model.
 * @module
 */
import type { WeightVersion } from "@briarhill/common/ids/ids";

/** A version and the wall-clock time of the log at its announcement. */
export interface VersionAnnouncement {
  readonly version: WeightVersion;
  readonly announcedAtMs: number;
}

/**
 * The announced versions of one model, in ascending order. It has to hold at
 * least one version more than the widest staleness bound allows a sample to be
 * behind.
 */
export class VersionHistory {
  readonly #announcements: readonly VersionAnnouncement[];

  constructor(announcements: readonly VersionAnnouncement[]) {
    this.#announcements = [...announcements]
      .sort((a, b) => a.version - b.version);
  }

  /** Returns the newest version, or undefined if none was announced. */
  getNewest(): WeightVersion | undefined {
    return this.#announcements.at(-1)?.version;
  }

  /**
   * Counts the announced versions that are newer than a given one.
   *
   * @param version - The version to compare with.
   */
  countNewer(version: WeightVersion): number {
    let count = 0;
    for (let index = this.#announcements.length - 1; index >= 0; index--) {
      if ((this.#announcements[index]?.version ?? version) <= version) {
        break;
      }
      count++;
    }
    return count;
  }

  /**
   * Returns when a version was first replaced by a newer one, or undefined
   * while it is the newest.
   *
   * @param version - The version, which need not have been announced.
   */
  getReplacedAtMs(version: WeightVersion): number | undefined {
    const newer = this.#announcements.slice(
      this.#announcements.length - this.countNewer(version),
    );
    return newer.length === 0
      ? undefined
      : Math.min(...newer.map((announced) => announced.announcedAtMs));
  }
}
