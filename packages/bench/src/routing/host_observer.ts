/**
 * Defines the load reports and the observer of a host of the traffic model.
 * @module
 */
import type { ModelLoad } from "../engine_model/engine_job.ts";
import type { ModelRequest } from "./traffic.ts";

/** A load report of an engine with the time of its measurement. */
export interface ModelReport extends ModelLoad {
  readonly measuredMs: number;
}

/** Receives the events of a host's requests. */
export interface HostObserver {
  onFirstToken(request: ModelRequest, nowMs: number): void;
  /** Called when the response is complete or the request was refused. */
  onEnd(request: ModelRequest, outcome: "finished" | "refused"): void;
}
