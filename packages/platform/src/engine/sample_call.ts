/**
 * Encodes the requests that generate and score a sample.
 * @module
 */
import type {
  SampleRequest,
  ScoringRequest,
} from "@briarhill/rollout/ledger/lot_request";
import { Buffer } from "node:buffer";
import {
  ATTEMPT_ID,
  EXPECTED_VERSION,
  LAST_EVENT_ID,
  URGENCY,
} from "../names/headers.ts";
import { encodeForwardedHeaders } from "../ingress/request_head.ts";
import { encodeWorkspace } from "../ingress/caller_credentials.ts";
import { encodeHeaderValue } from "../ingress/header_text.ts";
import type { EngineCall } from "./engine_calls.ts";

/** Options of a generation request. */
export interface GenerationOptions {
  readonly host: string;
  readonly endpoint: string;
  /** The name of the lot's workspace, if it has one. */
  readonly workspace?: string;
  readonly deadlineMs: number;
  /** The id of the last event received, or -1 for a new generation. */
  readonly lastEventId: number;
  /** Scheduling priority from 0 (highest) to 9. */
  readonly urgency: number;
  /** The only weight version that may serve the request, or undefined for any. */
  readonly version: number | undefined;
}

/**
 * Returns the request that generates a sample, or resumes its event stream
 * after the last event received.
 *
 * @example
 * ```ts
 * declare const sample: SampleRequest;
 *
 * const call = encodeGeneration(sample, {
 *   host: "a.example",
 *   endpoint: "i-1",
 *   deadlineMs: 8000,
 *   lastEventId: -1,
 *   urgency: 5,
 *   version: undefined,
 * });
 * ```
 * @param sample - The sample.
 * @param options - The endpoint, the deadline and the point to resume from.
 */
export function encodeGeneration(
  sample: SampleRequest,
  options: GenerationOptions,
): EngineCall {
  const { lastEventId, version, workspace } = options;
  return {
    method: "POST",
    path: sample.path,
    headers: [
      "Host",
      options.host,
      // Headers of a single connection would contradict those of this one.
      ...encodeForwardedHeaders(
        encodeSampleHeaders(sample, workspace),
        options,
      ),
      ATTEMPT_ID,
      sample.id,
      URGENCY,
      String(options.urgency),
      ...(lastEventId < 0 ? [] : [LAST_EVENT_ID, String(lastEventId)]),
      ...(version === undefined ? [] : [EXPECTED_VERSION, String(version)]),
    ],
    body: Buffer.from(sample.body, "base64"),
  };
}

function encodeSampleHeaders(
  sample: SampleRequest,
  workspace: string | undefined,
): readonly string[] {
  const headers = sample.headers.flatMap(([name, value]) => [
    name,
    encodeHeaderValue(value),
  ]);
  return workspace === undefined
    ? headers
    : encodeWorkspace(headers, workspace);
}

/**
 * Returns the request that scores a sample, in the form in which a caller
 * would send it.
 *
 * @example
 * ```ts
 * declare const scoring: ScoringRequest;
 *
 * const call = encodeScoring(scoring);
 * ```
 * @param scoring - The scoring request of the sample.
 */
export function encodeScoring(scoring: ScoringRequest): EngineCall {
  return {
    method: "POST",
    path: scoring.path,
    headers: ["Host", scoring.host, ATTEMPT_ID, scoring.id],
    body: Buffer.from(scoring.body, "base64"),
  };
}
