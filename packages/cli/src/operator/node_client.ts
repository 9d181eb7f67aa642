/**
 * The interface through which commands query the admin endpoints of nodes.
 * @module
 */
import type { NodeStatus } from "@briarhill/control/configuration/node_status";
import type { ConfigurationState } from "@briarhill/control/configuration/configuration_state";
import { z } from "zod";

/** The schema of the histograms that a node reports. */
export const HISTOGRAMS = z.array(z.object({
  metric: z.string(),
  customer: z.string(),
  requestClass: z.string(),
  count: z.number(),
  mean: z.number(),
  p50: z.number(),
  p90: z.number(),
  p99: z.number(),
  max: z.number(),
}));

/** The summary of one histogram of a node. */
export type HistogramRow = Readonly<z.output<typeof HISTOGRAMS>[number]>;

/** Queries the admin endpoint of one node at a time. */
export abstract class NodeClient {
  /**
   * Returns the status of a node; throws a `PortError` when it can't be fetched.
   *
   * @param address - The node's admin address.
   */
  abstract fetchStatus(address: string): Promise<NodeStatus>;

  /**
   * Returns the histograms of a node; throws a `PortError` when they can't be
   * fetched.
   *
   * @param address - The node's admin address.
   */
  abstract fetchHistograms(address: string): Promise<readonly HistogramRow[]>;

  /**
   * Returns the configuration in force on a node, or undefined when the node has
   * no complete one; throws a `PortError` when it can't be fetched.
   *
   * @param address - The node's admin address.
   */
  abstract fetchConfiguration(
    address: string,
  ): Promise<ConfigurationState | undefined>;
}
