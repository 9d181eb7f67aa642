/**
 * Selects the subset of engines that a host watches and sends requests to.
 * @module
 */
import type { EndpointId, HostId } from "@briarhill/common/ids/ids";
import { hashPair, hashText } from "@briarhill/common/hashing/rendezvous";

/** Maximum number of engines up to which each host watches all of them. */
const MAX_WATCH_ALL_ENGINES = 64;
/** Average number of engines that a host watches if there are more. */
const SUBSET_SIZE = 64;
/** Minimum number of hosts that watch an engine, so that no engine is unused after the loss of one host. */
const MIN_HOSTS_PER_ENGINE = 2;

/** Options of `listSubset`: this host, and all hosts and engines of the system. */
export interface SubsetOptions {
  readonly self: HostId;
  readonly hosts: readonly HostId[];
  readonly engines: readonly EndpointId[];
}

/**
 * Returns the engines that a host watches. Rendezvous hashing assigns the same
 * number of hosts to each engine, and when a host leaves, only the engines that
 * it watched are reassigned.
 *
 * @example
 * ```ts
 * const watched = listSubset({ self: "host-1", hosts, engines });
 * ```
 * @param options - This host, and all hosts and engines of the system.
 */
export function listSubset(options: SubsetOptions): readonly EndpointId[] {
  const { self, hosts, engines } = options;
  if (engines.length <= MAX_WATCH_ALL_ENGINES) {
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
    const selfScore = hashPair(engineHash, selfHash);
    return countHigherScores(engineHash, {
      otherHashes,
      selfScore,
      hostsPerEngine,
    }) <
      hostsPerEngine;
  });
}

/** Counts the hosts with a higher score than this host, up to the number of hosts per engine. */
function countHigherScores(
  engineHash: number,
  options: {
    readonly otherHashes: readonly number[];
    readonly selfScore: number;
    readonly hostsPerEngine: number;
  },
): number {
  const { otherHashes, selfScore, hostsPerEngine } = options;
  let higher = 0;
  for (const otherHash of otherHashes) {
    if (
      hashPair(engineHash, otherHash) > selfScore && ++higher >= hostsPerEngine
    ) {
      break;
    }
  }
  return higher;
}
