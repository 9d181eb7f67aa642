/**
 * Creates the dependencies that all components of a host share.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";
import { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { Logger } from "@briarhill/common/logging/logger";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { SteadyClock } from "@briarhill/common/time/steady_clock";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { randomBytes } from "node:crypto";
import { INITIAL_LIMITS } from "../http/caller_listener.ts";
import { ConnectionGuard } from "../http/connection_guard.ts";
import { computeConnectionLimits } from "../http/connection_limits.ts";
import { HostMemory } from "../memory/host_memory.ts";
import { HostMetrics } from "../observe/host_metrics.ts";
import type { HostSettings } from "../settings/host_settings.ts";
import { UsageMeter } from "../usage/usage_meter.ts";
import type { HostContext } from "./host_context.ts";

const INCARNATION_BYTES = 4;
/** Responses of each of the two kinds may take at most the host's memory divided by this. */
const RESPONSE_MEMORY_DIVISOR = 8;

/**
 * Creates the dependencies that all components of a host share. The process gets a
 * new id, from which its random choices follow.
 *
 * @example
 * ```ts
 * declare const settings: HostSettings;
 * declare const logger: Logger;
 *
 * const { clock } = createHostContext(settings, logger);
 * ```
 * @param settings - The settings of the host.
 * @param logger - The logger of the process.
 */
export function createHostContext(
  settings: HostSettings,
  logger: Logger,
): HostContext {
  const incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
  const processId = `${settings.ip}/${incarnation}`;
  const clock = new SystemClock();
  const metrics = new HostMetrics();
  const createMemory = (kind: string) =>
    new ResponseMemory({
      limitBytes: settings.memoryBytes / RESPONSE_MEMORY_DIVISOR,
      onDropped: (bytes) => {
        metrics.addDroppedResponse(kind);
        logger.warn("response-dropped", { kind, bytes });
      },
    });
  const memory = new HostMemory({ clock, memoryBytes: settings.memoryBytes });
  return {
    settings,
    logger,
    clock,
    random: new SeededRandom(hashText(processId)),
    metrics,
    memory,
    endpointResponses: createMemory("endpoint"),
    internalResponses: createMemory("internal"),
    connectionLimits: computeConnectionLimits(settings),
    guard: new ConnectionGuard({ clock, logger, memory }, INITIAL_LIMITS),
    usage: new UsageMeter({
      clock: new SteadyClock(clock),
      processId,
      windowMs: settings.cloud?.windowMs,
    }),
    processId,
  };
}
