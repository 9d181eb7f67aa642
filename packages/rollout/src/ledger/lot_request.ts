/**
 * A lot as a trainer hands it in, and the results of its samples.
 * @module
 */
import type { LotId, SampleId } from "@briarhill/common/ids/ids";

/** The request that scores a finished sample. */
export interface ScoringRequest {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  /** In base64. */
  readonly body: string;
}

/** One sample to generate. */
export interface SampleRequest {
  readonly id: SampleId;
  readonly path: string;
  /** The headers of the generation, as names and values. */
  readonly headers: readonly (readonly [string, string])[];
  /** In base64. */
  readonly body: string;
  /** Samples of a group share their prompt. */
  readonly group: string;
  /** How many output tokens the trainer expects; often far off. */
  readonly expectedTokens: number;
  /** Undefined where the sample needs no score. */
  readonly scoring?: ScoringRequest;
}

/** All samples of one step of a trainer. */
export interface LotRequest {
  readonly id: LotId;
  /** The host and path that name the route. */
  readonly host: string;
  readonly path: string;
  readonly model: string;
  /** The oldest version of the weights that may make an event of its samples. */
  readonly minVersion: number;
  /** How many whole groups the trainer waits for. */
  readonly wantedGroups: number;
  /** When the lot was accepted, in milliseconds since 1970. */
  readonly acceptedAtMs: number;
  readonly samples: readonly SampleRequest[];
}

/** Events of a sample that is still generated, kept for the case that its host is lost. */
export interface SampleProgress {
  readonly sample: SampleId;
  /** How many events come before these. */
  readonly fromEvent: number;
  /** The data of each event. */
  readonly texts: readonly string[];
  readonly lastEventId: number;
  /** The versions that made an event of the text so far. */
  readonly versions: readonly number[];
}

/** What one run of a lot's work has gained; the events of two writers never make up one text. */
export interface LotProgress {
  /** Tells who generates: a host that takes a lot over is another writer. */
  readonly writer: string;
  readonly samples: readonly SampleProgress[];
}

/** The final result of a sample. */
export interface SampleResult {
  readonly sample: SampleId;
  readonly state: "completed" | "abandoned";
  /** The data of all events, one a line. */
  readonly text: string;
  /** The versions that made an event of the text, in the order of their first. */
  readonly versions: readonly number[];
  /** The signature of the scoring answer; empty where there is none. */
  readonly score: string;
}
