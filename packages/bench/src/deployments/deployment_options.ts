/**
 * Defines the options of a deployment run, with its default and short form.
 * @module
 */

/** The size of the trainers' lots. */
export interface LotSize {
  readonly groups: number;
  readonly samplesPerGroup: number;
  readonly maxTokens: number;
}

/** Options of a deployment run. */
export interface DeploymentOptions {
  /** The time during which calls are started; started calls are completed. */
  readonly seconds: number;
  readonly seed: number;
  readonly lot: LotSize;
  /** Whether to listen on free ports instead of the ports in the files. */
  readonly freePorts: boolean;
}

/** The options of a run by default. */
export const DEFAULT_OPTIONS: DeploymentOptions = {
  seconds: 15,
  seed: 1,
  lot: { groups: 6, samplesPerGroup: 4, maxTokens: 256 },
  freePorts: false,
};

/** The options of the short run that CI makes. */
export const QUICK_OPTIONS: DeploymentOptions = {
  seconds: 4,
  seed: 1,
  lot: { groups: 2, samplesPerGroup: 2, maxTokens: 64 },
  freePorts: true,
};
