/**
 * Runs the hosts other than the measured one: peers that only maintain links, and
 * lease holders.
 * @module
 */
import { Logger } from "@briarhill/common/logging/logger";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { SystemClock } from "@briarhill/common/time/system_clock";
import {
  FETCH_PROCEDURE,
  FETCH_REQUEST,
} from "@briarhill/control/configuration/configuration_exchange";
import {
  computeLeaseRank,
  type LeaseMember,
} from "@briarhill/control/leases/lease_candidacy";
import { DEFAULT_MEMBERSHIP_OPTIONS } from "@briarhill/control/membership/membership_options";
import type { StandIns } from "@briarhill/fakes/standins/stand_ins";
import { SNAPSHOT_LEASE } from "@briarhill/node/configuration/snapshot_writer";
import { LogLeaseManager } from "@briarhill/node/leases/log_lease_manager";
import type { NodeContext } from "@briarhill/node/node/node_context";
import { TrpcPeerNetwork } from "@briarhill/node/peers/trpc_peer_network";
import { setMaxListeners } from "node:events";
import { LOCAL_KEY } from "../../nodes/node_settings_text.ts";

const MODELS = 32;
/** Equals the number of candidates of all lease groups. */
const HOLDERS = 12;
const HOLD_POLL_INTERVAL_MS = 100;
/** The number of hosts that the other hosts join through. */
export const SEEDS = 2;

/**
 * Returns the ids of the models, each of which has one lease.
 *
 * @example
 * ```ts
 * const leases = listModels().map((model) => `weights/${model}`);
 * ```
 */
export function listModels(): readonly string[] {
  return Array.from({ length: MODELS }, (_, index) => `model-${index}`);
}

/**
 * Starts hosts that only maintain links to their peers.
 *
 * @example
 * ```ts
 * const others = await startPeers(11, { seed: 1, clock });
 * ```
 * @param count - The number of hosts.
 * @param options - The seed and the clock.
 */
export async function startPeers(
  count: number,
  options: { readonly seed: number; readonly clock: SystemClock },
): Promise<readonly TrpcPeerNetwork[]> {
  const others: TrpcPeerNetwork[] = [];
  const seeds: string[] = [];
  for (let index = 0; index < count; index++) {
    const other = new TrpcPeerNetwork({
      host: `other-${index}`,
      failureDomain: `domain-${index % 7}`,
      region: `region-${index % 3}`,
      listen: { address: "127.0.0.1", port: 0 },
      seeds: [...seeds],
      keys: [LOCAL_KEY],
      clock: options.clock,
      random: new SeededRandom(options.seed + index),
      logger: Logger.create({}),
      options: DEFAULT_MEMBERSHIP_OPTIONS,
    });
    // These hosts hold no records that the measured node lacks.
    other.register(FETCH_PROCEDURE, (input) => {
      const { after } = FETCH_REQUEST.parse(input);
      return Promise.resolve({ offset: after, records: [], snapshot: [] });
    });
    const port = await other.start();
    others.push(other);
    if (seeds.length < SEEDS) {
      seeds.push(`127.0.0.1:${port}`);
    }
  }
  return others;
}

/**
 * Starts lease managers on other hosts and resolves once they hold all leases.
 *
 * @example
 * ```ts
 * await startHolders(standIns, { seed: 1, clock, signal });
 * ```
 * @param standIns - The stand-ins, whose log records the leases.
 * @param options - The seed, the clock and the signal that stops the holders.
 */
export async function startHolders(
  standIns: StandIns,
  options: {
    readonly seed: number;
    readonly clock: SystemClock;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  setMaxListeners(0, options.signal);
  const leases = [
    SNAPSHOT_LEASE,
    ...listModels().map((model) => `weights/${model}`),
  ];
  const holdChecks: (() => boolean)[] = [];
  for (let index = 0; index < HOLDERS; index++) {
    const unused = {} as NodeContext;
    const manager = new LogLeaseManager({
      ...unused,
      settings: { ...unused.settings, host: `other-${index}` },
      clock: options.clock,
      random: new SeededRandom(options.seed + index),
      logger: Logger.create({}),
      log: standIns.log,
    });
    const assigned = leases.filter((_, lease) => lease % HOLDERS === index);
    assigned.forEach((lease) => manager.seek(lease));
    holdChecks.push(() =>
      assigned.every((lease) => manager.getFencing(lease) !== undefined)
    );
    void manager.run(options.signal);
  }
  while (!holdChecks.every((isHolding) => isHolding())) {
    await options.clock.sleep(HOLD_POLL_INTERVAL_MS);
  }
}

/**
 * Returns a host name that makes the host a lease candidate, as control costs
 * the most on candidates.
 *
 * @example
 * ```ts
 * const host = findCandidate(others.map((other) => other.getSelf()));
 * ```
 * @param others - The other hosts.
 */
export function findCandidate(others: readonly LeaseMember[]): string {
  for (let index = 1;; index++) {
    const self = `entry-${index}`;
    const members = [...others, { host: self, failureDomain: "domain-a" }];
    if (computeLeaseRank(SNAPSHOT_LEASE, { self, members }) === 0) {
      return self;
    }
  }
}
