/**
 * Cuts hosts from all endpoints, and records when each host was harmed and how its
 * callers fared.
 * @module
 */
import type { PlatformStandIn } from "@briarhill/fakes/platform/platform_stand_in";
import { setTimeout as sleep } from "node:timers/promises";

/** How long a cut lasts at least, in milliseconds; above the time from which callers have to be served. */
const CUT_MS = 4_500;
/** The time after which the callers of cut hosts have to be served, and for which a harmed host is out of touch, in milliseconds (a bound of the platform). */
const STABLE_MS = 3_000;

/** How the links are cut, by the kind of fault. */
const CUTS = {
  "hosts-cut-silent": "silent",
  "hosts-cut-reset": "reset",
  "hosts-cut-refused": "refused",
} as const;

/** A fault that cuts hosts from all endpoints. */
export type CutKind = keyof typeof CUTS;

/**
 * Returns whether a fault cuts hosts from all endpoints.
 *
 * @example
 * ```ts
 * const isCut = isCutKind("hosts-cut-silent");
 * ```
 * @param kind - The kind of the fault.
 */
export function isCutKind(kind: string): kind is CutKind {
  return kind in CUTS;
}

/** The time between two tries that were made at the same time, in milliseconds; each host gets several a second. */
const BESIDE_MS = 500;

/** A cut of some hosts. */
export interface HostCut {
  readonly hosts: readonly number[];
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The first try of a call. */
export interface FirstTry {
  readonly host: number;
  readonly atMs: number;
  readonly isServed: boolean;
}

/** A time in which a host was out of touch for another reason. */
export interface HostHarm {
  readonly host: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The cuts of a soak, and what callers got meanwhile. */
export class HostCuts {
  readonly #platform: PlatformStandIn;
  readonly cuts: HostCut[] = [];
  readonly tries: FirstTry[] = [];
  readonly harms: HostHarm[] = [];
  readonly #cutHosts = new Set<number>();

  constructor(platform: PlatformStandIn) {
    this.#platform = platform;
  }

  /**
   * Cuts some hosts that are not cut yet, up to all of them, and restores their links.
   *
   * @param kind - The kind of the fault.
   * @param fault - The number of hosts, the duration and a number that selects the hosts.
   */
  async cancelLinks(
    kind: CutKind,
    fault: {
      readonly hosts: number;
      readonly forMs: number;
      readonly target: number;
    },
  ): Promise<void> {
    const { hosts, forMs, target } = fault;
    const count = 1 + Math.floor(target / hosts) % hosts;
    const selected = Array.from(
      { length: count },
      (_, index) => (target + index) % hosts,
    ).filter((host) => !this.#cutHosts.has(host));
    const fromMs = Date.now();
    selected.forEach((host) => {
      this.#cutHosts.add(host);
      this.#platform.links.suspendHost(host, CUTS[kind]);
    });
    await sleep(CUT_MS + forMs);
    this.cuts.push({ hosts: selected, fromMs, untilMs: Date.now() });
    await Promise.all(selected.map(async (host) => {
      await this.#platform.links.resumeHost(host);
      this.#cutHosts.delete(host);
    }));
  }
}

/**
 * Returns the cuts in which the callers of cut hosts were served less than two thirds
 * as often as those of other hosts, and more than 10 and one in 50 tries failed there.
 *
 * @example
 * ```ts
 * const unserved = listUnserved({ cuts: [], tries: [], harms: [] });
 * ```
 * @param seen - The cuts, the first tries, and when hosts were out of touch for another reason.
 */
export function listUnserved(
  { cuts, tries, harms }: {
    readonly cuts: readonly HostCut[];
    readonly tries: readonly FirstTry[];
    readonly harms: readonly HostHarm[];
  },
): readonly string[] {
  const isInTouch = ({ host, atMs }: FirstTry) =>
    harms.every((harm) =>
      harm.host !== host || atMs < harm.fromMs ||
      atMs > harm.untilMs + STABLE_MS
    );
  const isCut = ({ host, atMs }: FirstTry) =>
    cuts.some(({ hosts, fromMs, untilMs }) =>
      hosts.includes(host) && atMs >= fromMs && atMs <= untilMs
    );
  return cuts.flatMap(({ hosts, fromMs, untilMs }) => {
    const counted = tries.filter((each) =>
      each.atMs >= fromMs + STABLE_MS && each.atMs <= untilMs && isInTouch(each)
    );
    const atOthers = counted.filter((each) => !isCut(each));
    // While no other host takes calls, nobody can serve those of the cut ones.
    const atCut = counted.filter(({ host, atMs }) =>
      hosts.includes(host) &&
      atOthers.some((other) => Math.abs(other.atMs - atMs) <= BESIDE_MS)
    );
    const failed = atCut.filter(({ isServed }) => !isServed).length;
    const isUnserved = atOthers.length > 0 &&
      failed > 10 + counted.length / 50 &&
      getServedShare(atCut) < getServedShare(atOthers) * 2 / 3;
    return isUnserved
      ? [
        `${failed} of ${atCut.length} first tries failed at cut hosts, ` +
        `${Math.round(100 * getServedShare(atOthers))}% were served elsewhere`,
      ]
      : [];
  });
}

function getServedShare(tries: readonly FirstTry[]): number {
  const served = tries.filter(({ isServed }) => isServed).length;
  return tries.length === 0 ? 1 : served / tries.length;
}
