/**
 * Dependencies that all components of a host share.
 * @module
 */
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import type { ConnectionGuard } from "../http/connection_guard.ts";
import type { ConnectionLimits } from "../http/connection_limits.ts";
import type { HostMemory } from "../memory/host_memory.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { HostSettings } from "../settings/host_settings.ts";
import type { UsageMeter } from "../usage/usage_meter.ts";

/** Dependencies that all components of a host share. */
export interface HostContext {
  readonly settings: HostSettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: SeededRandom;
  readonly metrics: HostMetrics;
  /** The bytes that are held for callers. */
  readonly memory: HostMemory;
  /** The bytes of responses of endpoints, and of what they have generated of unfinished samples. */
  readonly endpointResponses: ResponseMemory;
  /** The bytes of responses of the store, the platform and other hosts. */
  readonly internalResponses: ResponseMemory;
  readonly guard: ConnectionGuard;
  readonly connectionLimits: ConnectionLimits;
  /** Counts the requests of workspaces. */
  readonly usage: UsageMeter;
  /** The id of this process, which differs after each restart of the host. */
  readonly processId: string;
}
