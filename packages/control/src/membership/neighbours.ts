/**
 * Overlay topology: on each of several rings, which are ordered by hash, a host
 * is linked to its successor and its predecessor. The rings together form a
 * regular graph of small diameter that each host computes from its own table.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import { hashText } from "./member_record.ts";

/** The hosts to which one host maintains links. */
export interface Neighbours {
  /** The hosts that it dials. */
  readonly dialled: ReadonlySet<HostId>;
  /** The hosts that dial it. */
  readonly accepted: ReadonlySet<HostId>;
}

/**
 * Picks the neighbours of a host.
 *
 * @example
 * ```ts
 * const { dialled } = pickNeighbours("entry-1", { hosts, rings: 2 });
 * ```
 * @param self - The host whose neighbours are picked.
 * @param options - All running hosts, and the number of rings.
 */
export function pickNeighbours(
  self: HostId,
  options: { readonly hosts: readonly HostId[]; readonly rings: number },
): Neighbours {
  const successors = new Set<HostId>();
  const predecessors = new Set<HostId>();
  for (let ring = 0; ring < options.rings; ring++) {
    const { next, previous } = findAdjacent(self, ring, options.hosts);
    if (next !== undefined) {
      successors.add(next);
    }
    if (previous !== undefined) {
      predecessors.add(previous);
    }
  }
  const dialled = new Set<HostId>();
  const accepted = new Set<HostId>();
  for (const host of new Set([...successors, ...predecessors])) {
    const isDialler = successors.has(host) &&
      (!predecessors.has(host) || self < host);
    (isDialler ? dialled : accepted).add(host);
  }
  return { dialled, accepted };
}

interface Adjacent {
  readonly next: HostId | undefined;
  readonly previous: HostId | undefined;
}

function findAdjacent(
  self: HostId,
  ring: number,
  hosts: readonly HostId[],
): Adjacent {
  const localHash = hashText(`${ring}|${self}`);
  let next: HostId | undefined;
  let previous: HostId | undefined;
  let nextDistance = Infinity;
  let previousDistance = Infinity;
  for (const host of hosts) {
    if (host === self) {
      continue;
    }
    // Breaks ties between equal hashes by the order of the host ids.
    const clockwise = (hashText(`${ring}|${host}`) - localHash) >>> 0;
    const distance = clockwise === 0 && host < self ? 2 ** 32 : clockwise;
    if (distance < nextDistance) {
      nextDistance = distance;
      next = host;
    }
    if (2 ** 32 - distance < previousDistance) {
      previousDistance = 2 ** 32 - distance;
      previous = host;
    }
  }
  return { next, previous };
}
