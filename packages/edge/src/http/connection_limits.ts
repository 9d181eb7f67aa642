/**
 * Computes how many connections each listener of a host accepts. The rest is left
 * to the connections that the host opens itself: to the store, to endpoints and to
 * other hosts.
 * @module
 */
import type { HostSettings } from "../settings/host_settings.ts";

/** The descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200;
/** The memory that a connection takes with its buffers and a head that is received, in bytes. */
const CONNECTION_BYTES = 65_536;
const CALLERS_SHARE = 0.45;
const PEERS_SHARE = 0.25;
const HEALTH_SHARE = 0.05;
const METRICS_SHARE = 0.02;
const MIN_CONNECTIONS = 16;

/** The maximum number of connections of each listener. */
export interface ConnectionLimits {
  readonly callers: number;
  readonly peers: number;
  readonly health: number;
  readonly metrics: number;
}

/**
 * Returns how many connections each listener of a host accepts.
 *
 * @example
 * ```ts
 * declare const settings: HostSettings;
 *
 * const { callers } = computeConnectionLimits(settings);
 * ```
 * @param settings - The settings of the host.
 */
export function computeConnectionLimits(
  { maxDescriptors, memoryBytes }: Pick<
    HostSettings,
    "maxDescriptors" | "memoryBytes"
  >,
): ConnectionLimits {
  const sockets = Math.min(
    maxDescriptors - FILE_DESCRIPTORS,
    memoryBytes / CONNECTION_BYTES,
  );
  const getLimit = (share: number) =>
    Math.max(MIN_CONNECTIONS, Math.floor(sockets * share));
  return {
    callers: getLimit(CALLERS_SHARE),
    peers: getLimit(PEERS_SHARE),
    health: getLimit(HEALTH_SHARE),
    metrics: getLimit(METRICS_SHARE),
  };
}
