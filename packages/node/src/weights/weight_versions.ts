/**
 * Interface to the announced weight versions of each model.
 * @module
 */
import type { ModelName, WeightVersion } from "@briarhill/common/ids/ids";

/** A weight version that a trainer announced. */
export interface AnnouncedVersion {
  readonly model: ModelName;
  readonly version: WeightVersion;
  /** Wall time of the announcement, as recorded by the log. */
  readonly announcedAtMs: number;
}

/** Announces weight versions, and lists the announced ones. */
export abstract class WeightVersions {
  /**
   * Returns the announced versions of a model, oldest first; the oldest may have
   * been dropped.
   *
   * @param model - The model.
   */
  abstract getVersions(model: ModelName): readonly AnnouncedVersion[];

  /**
   * Announces a version, and starts its rollout to the engines. Resolves once
   * the announcement is in the log; announcing a version again has no effect.
   *
   * @param model - The model.
   * @param version - The version, higher than all earlier ones.
   */
  abstract announce(model: ModelName, version: WeightVersion): Promise<void>;

  /**
   * Resolves once all announcements that were in the log at the time of the call
   * have been read; rejects if the log can't be read.
   *
   * @param _model - The model.
   */
  fetchNewest(_model: ModelName): Promise<void> {
    return Promise.resolve();
  }

  /**
   * Subscribes to the announcements that this host reads from the log.
   *
   * @param callback - Called after each announcement.
   */
  abstract subscribe(callback: (announced: AnnouncedVersion) => void): void;
}
