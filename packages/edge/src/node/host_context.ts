/**
 * What all parts of a host share.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { HostSettings } from "../settings/host_settings.ts";

/** What all parts of a host share. */
export interface HostContext {
  readonly settings: HostSettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: SeededRandom;
  readonly metrics: HostMetrics;
  /** This process; a host that starts again is another one. */
  readonly self: string;
}
