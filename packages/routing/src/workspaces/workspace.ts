/**
 * Defines the workspaces of the operator's configuration: the callers that share
 * keys, a priority and lots.
 * @module
 */

/** A workspace and what its callers authenticate with. */
export interface WorkspaceStructure {
  readonly name: string;
  /** The digests of its keys; the keys themselves are not kept. */
  readonly keyDigests: readonly string[];
  /** Takes precedence over the priority of a route; 0 is the highest. */
  readonly priority?: number;
}
