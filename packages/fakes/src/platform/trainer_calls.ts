/**
 * What a trainer sends to hosts and reads from them.
 * @module
 */
import {
  ATTEMPT_ID,
  DEADLINE_MS,
  LENGTH_HINT,
  WAIT_MS,
} from "@briarhill/platform/names/headers";
import { Buffer } from "node:buffer";
import type { HostAnswer, HostCallOptions } from "./host_call.ts";
import { SERVICE_HOST } from "./platform_configuration.ts";

/** How long a trainer waits for results, in milliseconds; a link may hold them back. */
const READ_TIMEOUT_MS = 3_000;
/** How long a trainer waits for a lot's acknowledgement, in milliseconds. */
const HAND_IN_TIMEOUT_MS = 8_000;

/** How results are read. */
export const RESULTS_READ: HostCallOptions = {
  headers: { [WAIT_MS]: "100" },
  timeoutMs: READ_TIMEOUT_MS,
};

/** A result as a trainer reads it. */
export interface LotResult {
  readonly id: string;
  readonly state: string;
  readonly output: string;
  readonly versions: readonly number[];
  readonly score: string;
}

/**
 * Returns the call that hands a lot in.
 *
 * @example
 * ```ts
 * const { body } = createHandIn("lot-1", 4);
 * ```
 * @param lot - The lot's id.
 * @param samples - How many samples it has, in two groups.
 */
export function createHandIn(lot: string, samples: number): HostCallOptions {
  const items = Array.from({ length: samples }, (_, number) => ({
    id: `${lot}-${number}`,
    path: `/rollout/${number}`,
    headers: { [LENGTH_HINT]: "100" },
    body: Buffer.from(`prompt ${number}`).toString("base64"),
    tokens: 100,
    group: `g${number % 2}`,
    scorer: {
      id: `score-${lot}-${number}`,
      host: SERVICE_HOST,
      path: "/app/score",
      body: "",
    },
  }));
  const terms = { step: 0, model: "m0", minVersion: 1, batchSize: 2 };
  return {
    headers: { [ATTEMPT_ID]: lot, [DEADLINE_MS]: String(HAND_IN_TIMEOUT_MS) },
    body: JSON.stringify({ ...terms, items }),
    timeoutMs: HAND_IN_TIMEOUT_MS,
  };
}

/**
 * Returns the results of an answer; none where the host can't tell.
 *
 * @example
 * ```ts
 * declare const answer: HostAnswer;
 *
 * const results = parseResults(answer);
 * ```
 * @param answer - The host's answer.
 */
export function parseResults(answer: HostAnswer): readonly LotResult[] {
  return answer.status === 200
    ? JSON.parse(answer.body.toString()).results
    : [];
}
