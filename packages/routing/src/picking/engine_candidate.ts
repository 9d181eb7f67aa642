/**
 * The data by which engines are picked, and the requirements of a request.
 * @module
 */
import type {
  EndpointId,
  FailureDomain,
  ModelName,
  RequestClass,
  WeightVersion,
} from "@briarhill/common/ids/ids";

/** A model that an engine serves. */
export interface CandidateModel {
  readonly model: ModelName;
  readonly version: WeightVersion;
  readonly adapters: readonly string[];
}

/** A load report with its time converted to the clock of this host. */
export interface CandidateReport {
  /** Monotonic time at which the reported load was measured, corrected by the lag of the report. */
  readonly asOfMs: number;
  readonly running: number;
  readonly queued: number;
}

/** State of an engine at the time of a pick. */
export interface EngineCandidate {
  readonly id: EndpointId;
  readonly failureDomain: FailureDomain;
  readonly role: "mixed" | "live" | "rollout";
  readonly models: readonly CandidateModel[];
  readonly slots: number;
  readonly roundTripMs: number;
  readonly report: CandidateReport | undefined;
  /** Time per token on this engine, as measured by this host. */
  readonly msPerToken: number;
  /** Share of picks for which the engine is eligible, from 0 to 1; less than 1 after an ejection. */
  readonly pickShare: number;
}

/** Requirements of a request on its engine. */
export interface PickRequest {
  readonly model: ModelName;
  readonly adapter?: string;
  readonly requestClass: RequestClass;
  /** Hash of the prompt's prefix, or "" if the prompt is too short for caching. */
  readonly prefixHash: string;
  /** Minimum weight version that may serve the request. */
  readonly minVersion?: WeightVersion;
  readonly excluded: readonly EndpointId[];
}

/**
 * Returns whether an engine can serve a request.
 *
 * @example
 * ```ts
 * const eligible = candidates.filter((it) => isEligible(it, request));
 * ```
 * @param candidate - The engine.
 * @param request - The request.
 */
export function isEligible(
  candidate: EngineCandidate,
  request: PickRequest,
): boolean {
  const incompatibleRole = request.requestClass === "rollout"
    ? "live"
    : "rollout";
  if (
    candidate.role === incompatibleRole ||
    request.excluded.includes(candidate.id)
  ) {
    return false;
  }
  const { model, adapter, minVersion = 0 } = request;
  return candidate.models.some((served) =>
    served.model === model && served.version >= minVersion &&
    (adapter === undefined || served.adapters.includes(adapter))
  );
}
