/**
 * Defines what a check of a routing configuration finds.
 * @module
 */

/** Severity of a finding: only errors make a configuration unfit to be published. */
export type FindingSeverity = "error" | "warning";

/** One fault of a configuration. */
export interface ConfigurationFinding {
  readonly severity: FindingSeverity;
  /** The entry that has the fault, such as `route "names"`. */
  readonly entry: string;
  readonly message: string;
}
