/**
 * Defines the lot that a trainer submits, its progress, and the results of its
 * samples. The shared log stores these structures as JSON, so that their field
 * names must not change.
 * @module
 */
import type { LotId, SampleId } from "@briarhill/common/ids/ids";

/** The request that scores a completed sample. */
export interface ScoringRequest {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  /** Encoded in base64. */
  readonly body: string;
}

/** One sample to generate. */
export interface SampleRequest {
  readonly id: SampleId;
  readonly path: string;
  /** The headers of the generation request, as pairs of name and value. */
  readonly headers: readonly (readonly [string, string])[];
  /** Encoded in base64. */
  readonly body: string;
  /** Samples of a group share their prompt. */
  readonly group: string;
  /** Number of output tokens that the trainer expects; often far off. */
  readonly expectedTokens: number;
  /** Undefined if the sample needs no score. */
  readonly scoring?: ScoringRequest;
}

/** All samples of one training step. */
export interface LotRequest {
  readonly id: LotId;
  /** The host and path that select the route. */
  readonly host: string;
  readonly path: string;
  /** The name of the workspace that submitted it; missing if it needed no key, and in records of older hosts. */
  readonly workspace?: string;
  readonly model: string;
  /** The oldest version of the weights that may generate an event of the samples. */
  readonly minVersion: number;
  /** Number of complete groups that the trainer waits for. */
  readonly wantedGroups: number;
  /** When the lot was accepted, in milliseconds since 1970. */
  readonly acceptedAtMs: number;
  readonly samples: readonly SampleRequest[];
}

/** Events of a sample that is still being generated, logged in case its host is lost. */
export interface SampleProgress {
  readonly sample: SampleId;
  /** Number of events that precede these. */
  readonly fromEvent: number;
  /** The data of each event. */
  readonly texts: readonly string[];
  readonly lastEventId: number;
  /** The weight versions that generated the text so far. */
  readonly versions: readonly number[];
  /** The software version of the engines that generated it; missing in records of older hosts. */
  readonly softwareVersion?: string;
}

/**
 * New events of a lot's samples from one writer; events of two writers must
 * never be joined into one text.
 */
export interface LotProgress {
  /**
   * The process that generates the samples; a host that takes over a lot is
   * another writer.
   */
  readonly writer: string;
  readonly samples: readonly SampleProgress[];
}

/** The final result of a sample. */
export interface SampleResult {
  readonly sample: SampleId;
  readonly state: "completed" | "abandoned";
  /** The data of all events, one per line. */
  readonly text: string;
  /** The weight versions that generated the text, in the order of their first event. */
  readonly versions: readonly number[];
  /** The signature of the scoring response; empty if there is none. */
  readonly score: string;
}
