/**
 * The resource usage that a node process reports, counted from its start.
 * @module
 */
import type { Traffic } from "@briarhill/node/peers/traffic_meter";

/** The resource usage of a node process since its start. */
export interface NodeReport {
  readonly traffic: Traffic;
  readonly cpuMs: number;
  readonly residentMb: number;
  /** Engine streams of samples that the node has read to the end. */
  readonly streams: number;
  readonly tokens: number;
}
