/**
 * The status that a node reports about itself to operators.
 * @module
 */
import { z } from "zod";

/** The schema of a node's status. */
export const NODE_STATUS = z.object({
  host: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  incarnation: z.number(),
  /** The offset of the last applied record of the configuration log. */
  revision: z.number().int(),
  /** SHA-256 of the configuration; equal on all hosts of the same revision. */
  sha256: z.string(),
  /** The readiness that `/readyz` reports. */
  ready: z.boolean(),
  accepting: z.boolean(),
  customers: z.array(z.string()),
  drains: z.array(z.object({ kind: z.string(), name: z.string() })),
  members: z.array(z.object({
    host: z.string(),
    incarnation: z.number(),
    address: z.string(),
    state: z.string(),
  })),
});

/** The status that a node reports about itself. */
export type NodeStatus = Readonly<z.output<typeof NODE_STATUS>>;
