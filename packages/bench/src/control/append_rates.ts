/**
 * Measures the log appends that configuration and leases cause in one system.
 * @module
 */
import type { BenchRow } from "../bench/bench_row.ts";
import { ConfigurationCluster } from "./configuration_cluster.ts";

const MS_PER_SECOND = 1_000;
const SECONDS_PER_HOUR = 3_600;
const SETTLE_SECONDS = 40;
const STEP_MS = 100;

/** Options of one measured system. */
export interface AppendRateOptions {
  readonly seed: number;
  readonly hosts: number;
  /** Number of leases that every host seeks, in addition to the snapshot lease. */
  readonly leases: number;
  readonly steadySeconds: number;
}

/**
 * Measures the appends of one system in steady state, and in the busiest second
 * after the start, after a log outage and after the crash of a lease holder.
 *
 * @example
 * ```ts
 * const row = await measureAppendRate({ seed: 1, hosts: 12, leases: 2, steadySeconds: 60 });
 * ```
 * @param options - The size of the system, its seed and the measured time.
 */
export async function measureAppendRate(
  options: AppendRateOptions,
): Promise<BenchRow> {
  const cluster = new ConfigurationCluster({ seed: options.seed });
  const hosts = Array.from({ length: options.hosts }, (_, index) => {
    const host = cluster.start(`h${index}`);
    for (let lease = 0; lease < options.leases; lease++) {
      host.leases.seek(`weights/model-${lease}`);
    }
    return host;
  });
  const startPeak = await measurePeak(cluster, SETTLE_SECONDS);
  const before = cluster.log.countAppends();
  await cluster.advance(options.steadySeconds * MS_PER_SECOND, STEP_MS);
  const steady = cluster.log.countAppends() - before;
  cluster.log.setOutage("refused");
  await cluster.advance(SETTLE_SECONDS * MS_PER_SECOND, STEP_MS);
  cluster.log.setOutage(undefined);
  const outagePeak = await measurePeak(cluster, SETTLE_SECONDS);
  hosts.filter(({ leases }) => leases.getFencing("snapshots") !== undefined)
    .forEach(({ kill }) => kill());
  const deathPeak = await measurePeak(cluster, SETTLE_SECONDS);
  hosts.forEach(({ kill }) => kill());
  const perSecond = steady / options.steadySeconds;
  return {
    hosts: options.hosts,
    leases: options.leases + 1,
    appendsPerHour: Math.round(perSecond * SECONDS_PER_HOUR),
    appendsPerSecond: perSecond,
    peakAfterStart: startPeak,
    peakAfterOutage: outagePeak,
    peakAfterDeath: deathPeak,
  };
}

/** Returns the highest number of appends in one second. */
async function measurePeak(
  cluster: ConfigurationCluster,
  seconds: number,
): Promise<number> {
  let peak = 0;
  for (let second = 0; second < seconds; second++) {
    const before = cluster.log.countAppends();
    await cluster.advance(MS_PER_SECOND, STEP_MS);
    peak = Math.max(peak, cluster.log.countAppends() - before);
  }
  return peak;
}
