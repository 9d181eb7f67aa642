/**
 * The requests that generate and score a sample.
 * @module
 */
import type {
  SampleRequest,
  ScoringRequest,
} from "@briarhill/rollout/ledger/lot_request";
import { Buffer } from "node:buffer";
import {
  ATTEMPT_ID,
  DEADLINE_MS,
  EXPECTED_INSTANCE,
  EXPECTED_VERSION,
  LAST_EVENT_ID,
  URGENCY,
} from "../names/headers.ts";
import type { EngineCall } from "./engine_calls.ts";

/** How a sample is generated. */
export interface GenerationTerms {
  readonly host: string;
  readonly endpoint: string;
  readonly deadlineMs: number;
  /** The id of the last event received before, or -1. */
  readonly lastEventId: number;
  /** From 0 (first) to 9. */
  readonly urgency: number;
  /** The only version that may serve, or undefined. */
  readonly version: number | undefined;
}

/**
 * Returns the request that generates a sample, or the rest of it.
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
 * @param terms - How it is generated.
 */
export function encodeGeneration(
  sample: SampleRequest,
  terms: GenerationTerms,
): EngineCall {
  const { lastEventId, version } = terms;
  return {
    method: "POST",
    path: sample.path,
    headers: [
      "Host",
      terms.host,
      ...sample.headers.flat(),
      ATTEMPT_ID,
      sample.id,
      DEADLINE_MS,
      String(Math.floor(terms.deadlineMs)),
      EXPECTED_INSTANCE,
      terms.endpoint,
      URGENCY,
      String(terms.urgency),
      ...(lastEventId < 0 ? [] : [LAST_EVENT_ID, String(lastEventId)]),
      ...(version === undefined ? [] : [EXPECTED_VERSION, String(version)]),
    ],
    body: Buffer.from(sample.body, "base64"),
  };
}

/**
 * Returns the request that scores a sample, as a caller would send it.
 *
 * @example
 * ```ts
 * declare const scoring: ScoringRequest;
 *
 * const call = encodeScoring(scoring);
 * ```
 * @param scoring - The request.
 */
export function encodeScoring(scoring: ScoringRequest): EngineCall {
  return {
    method: "POST",
    path: scoring.path,
    headers: ["Host", scoring.host, ATTEMPT_ID, scoring.id],
    body: Buffer.from(scoring.body, "base64"),
  };
}
