/**
 * The part of all engines that one host watches and sends to.
 * @module
 */
import type { EndpointId, HostId } from "@briarhill/common/ids/ids";
import { hashPair, hashText } from "@briarhill/common/hashing/rendezvous";

/** Below this number a host watches all engines. */
const WATCH_ALL_ENGINES = 64;
/** The engines that a host watches on average once there are more. */
const SUBSET_SIZE = 64;
/** The fewest hosts that watch an engine, so that one host's loss leaves none unused. */
const MIN_HOSTS_PER_ENGINE = 2;

/** The hosts and engines of the whole system. */
export interface SubsetOptions {
  readonly self: HostId;
  readonly hosts: readonly HostId[];
  readonly engines: readonly EndpointId[];
}

/**
 * Lists the engines that a host watches. Each engine names its hosts by
 * rendezvous hashing, so that every engine has the same number of hosts, and a
 * host that leaves moves only its own engines.
 *
 * @example
 * ```ts
 * const mine = listSubset({ self: "host-1", hosts, engines });
 * ```
 * @param options - The hosts and engines of the whole system.
 */
export function listSubset(options: SubsetOptions): readonly EndpointId[] {
  const { self, hosts, engines } = options;
  if (engines.length <= WATCH_ALL_ENGINES) {
    return engines;
  }
  const hostsPerEngine = Math.max(
    MIN_HOSTS_PER_ENGINE,
    Math.ceil(SUBSET_SIZE * hosts.length / engines.length),
  );
  const selfHash = hashText(self);
  const otherHashes = hosts.filter((host) => host !== self).map(hashText);
  return engines.filter((engine) => {
    const engineHash = hashText(engine);
    const ownScore = hashPair(engineHash, selfHash);
    return countAbove(engineHash, { otherHashes, ownScore, hostsPerEngine }) <
      hostsPerEngine;
  });
}

/** Counts the hosts that score higher, up to the number that settles it. */
function countAbove(
  engineHash: number,
  options: {
    readonly otherHashes: readonly number[];
    readonly ownScore: number;
    readonly hostsPerEngine: number;
  },
): number {
  const { otherHashes, ownScore, hostsPerEngine } = options;
  let above = 0;
  for (const other of otherHashes) {
    if (hashPair(engineHash, other) > ownScore && ++above >= hostsPerEngine) {
      break;
    }
  }
  return above;
}
