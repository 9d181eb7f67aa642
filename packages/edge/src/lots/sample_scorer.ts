/**
 * Scores finished samples by calling the routes of ordinary services.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { encodeScoring } from "@briarhill/platform/engine/sample_call";
import { decodeEndpointResponse } from "@briarhill/platform/ingress/endpoint_response";
import type { ScoringRequest } from "@briarhill/rollout/ledger/lot_request";
import type { RouteStructure } from "@briarhill/routing/table/route";
import { Buffer } from "node:buffer";
import type { CallForwarder, ForwardReport } from "../calls/call_forwarder.ts";
import type { CallOutcome } from "../calls/call_outcome.ts";

const FIRST_FAILURE_STATUS = 300;
const SERVER_ERROR_STATUS = 500;

/** A signature as the score, or an empty signature and the number of endpoints that answered with an error of their own. */
export interface ScoringReport {
  readonly signature: string;
  readonly failures: number;
  /** The time after which to try again, in milliseconds, if the call was refused and it is known. */
  readonly retryAfterMs?: number;
}

/** Scores finished samples. */
export class SampleScorer {
  readonly #forwarder: CallForwarder;
  readonly #clock: Clock;
  readonly #logger: Logger;

  constructor(forwarder: CallForwarder, clock: Clock, logger: Logger) {
    this.#forwarder = forwarder;
    this.#clock = clock;
    this.#logger = logger;
  }

  /**
   * Scores a sample.
   *
   * @param scoring - The scoring request.
   * @param route - The route of the request.
   * @param signal - Aborts the call when the score is no longer needed.
   */
  async scoreSample(
    scoring: ScoringRequest,
    route: RouteStructure,
    signal: AbortSignal,
  ): Promise<ScoringReport> {
    const call = encodeScoring(scoring);
    const startMs = this.#clock.getMonotonicMs();
    const deadlineMs = startMs + route.timeoutMs;
    const { outcome, attempts, failures } = await this.#forwarder.forward({
      route,
      purpose: "scoring",
      attemptId: scoring.id,
      method: call.method,
      path: call.path,
      rawHeaders: call.headers,
      body: call.body ?? Buffer.alloc(0),
      deadlineMs,
      signal,
    });
    const tookMs = Math.round(this.#clock.getMonotonicMs() - startMs);
    return this.#createReport({ outcome, attempts, failures }, {
      scoring: scoring.id,
      tookMs,
    });
  }

  #createReport(
    { outcome, attempts, failures }: ForwardReport,
    fields: { readonly scoring: string; readonly tookMs: number },
  ): ScoringReport {
    const signature = getSignature(outcome);
    const report = { ...fields, attempts };
    if (signature !== "" && outcome.kind === "answered") {
      const { endpoint } = outcome;
      this.#logger.info("sample-scored", { ...report, endpoint });
      return { signature, failures: 0 };
    }
    this.#logger.warn("scoring-failed", {
      ...report,
      kind: outcome.kind,
      reason: outcome.kind === "answered"
        ? `status ${outcome.httpAnswer.status}`
        : outcome.reason,
      failedAnswers: failures,
    });
    const isFailure = outcome.kind === "answered" &&
      outcome.httpAnswer.status === SERVER_ERROR_STATUS;
    return {
      signature: "",
      failures: isFailure ? failures : 0,
      ...(outcome.kind === "refused" && outcome.retryAfterMs !== undefined
        ? { retryAfterMs: outcome.retryAfterMs }
        : {}),
    };
  }
}

/** Returns the signature of a successful response, or an empty string. */
function getSignature(outcome: CallOutcome): string {
  if (outcome.kind !== "answered") {
    return "";
  }
  const { status, signature } = decodeEndpointResponse(outcome.httpAnswer);
  return status < FIRST_FAILURE_STATUS ? signature : "";
}
