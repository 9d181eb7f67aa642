/**
 * The calls that a trainer makes to hosts, and the results that it reads.
 * @module
 */
import {
  ATTEMPT_ID,
  DEADLINE_MS,
  LENGTH_HINT,
  WAIT_MS,
} from "@briarhill/platform/names/headers";
import { Buffer } from "node:buffer";
import type { HostCallOptions, HostResponse } from "./host_call.ts";
import { SERVICE_HOST } from "./platform_configuration.ts";

/** Timeout of a read of results, in milliseconds; a link may hold the response back. */
const READ_TIMEOUT_MS = 3_000;
/** Timeout and deadline of a lot's submission, in milliseconds. */
const SUBMIT_TIMEOUT_MS = 8_000;

/** The options of a call that reads results. */
export const RESULTS_CALL_OPTIONS: HostCallOptions = {
  headers: { [WAIT_MS]: "100" },
  timeoutMs: READ_TIMEOUT_MS,
};

/** The result of one sample as a trainer reads it. */
export interface LotResult {
  readonly id: string;
  readonly state: string;
  readonly output: string;
  readonly versions: readonly number[];
  readonly score: string;
}

/**
 * Returns the options of the call that submits a lot.
 *
 * @example
 * ```ts
 * const { body } = createLotSubmission("lot-1", 4);
 * ```
 * @param lot - The lot's id.
 * @param samples - The number of samples, which are split into two groups.
 */
export function createLotSubmission(
  lot: string,
  samples: number,
): HostCallOptions {
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
  const lotSettings = { step: 0, model: "m0", minVersion: 1, batchSize: 2 };
  return {
    headers: { [ATTEMPT_ID]: lot, [DEADLINE_MS]: String(SUBMIT_TIMEOUT_MS) },
    body: JSON.stringify({ ...lotSettings, items }),
    timeoutMs: SUBMIT_TIMEOUT_MS,
  };
}

/**
 * Returns the results in a response; none if its status is not 200.
 *
 * @example
 * ```ts
 * declare const response: HostResponse;
 *
 * const results = parseResults(response);
 * ```
 * @param response - The host's response.
 */
export function parseResults(response: HostResponse): readonly LotResult[] {
  return response.status === 200
    ? JSON.parse(response.body.toString()).results
    : [];
}
