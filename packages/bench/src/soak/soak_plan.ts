/**
 * Draws a series of overlapping faults from a seed.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";
import { SeededRandom } from "@briarhill/common/random/seeded_random";

/** What happens to hosts, store and endpoints. */
export type SoakFaultKind =
  | "kill"
  | "kill-all"
  | "pause"
  | "stop"
  | "store-busy"
  | "store-silent"
  | "store-lost"
  | "store-refuses-host"
  | "history-dropped"
  | "groups-assigned-anew"
  | "engine-breaks"
  | "service-slow"
  | "configuration"
  | "version"
  | "links-reset"
  | "links-silent"
  | "link-slow"
  | "link-holds-requests"
  | "link-holds-answers"
  | "endpoint-leaves"
  | "endpoint-limited"
  | "request-crashes"
  | "software-released"
  | "hosts-cut-silent"
  | "hosts-cut-reset"
  | "hosts-cut-refused"
  | "responses-unframed"
  | "responses-reset"
  | "responses-endless"
  | "responses-malformed";

const KINDS: readonly SoakFaultKind[] = [
  "kill",
  "kill-all",
  "pause",
  "stop",
  "store-busy",
  "store-silent",
  "store-lost",
  "store-refuses-host",
  "history-dropped",
  "groups-assigned-anew",
  "engine-breaks",
  "service-slow",
  "configuration",
  "version",
  "links-reset",
  "links-silent",
  "link-slow",
  "link-holds-requests",
  "link-holds-answers",
  "endpoint-leaves",
  "endpoint-limited",
];

/** One fault. */
export interface SoakFault {
  readonly atMs: number;
  readonly kind: SoakFaultKind;
  /** How long it lasts, in milliseconds. */
  readonly forMs: number;
  /** Which host, endpoint or link it strikes: this number modulo their count. */
  readonly target: number;
}

/** The size of a plan. */
export interface SoakPlanOptions {
  readonly seed: number;
  readonly durationMs: number;
}

/** Faults that are drawn apart, so that the other faults of a seed stay as they were. */
const LATER_KINDS: readonly SoakFaultKind[] = [
  "request-crashes",
  "software-released",
  "software-released",
];

/** Faults that were added after those. */
const CUT_KINDS: readonly SoakFaultKind[] = [
  "hosts-cut-silent",
  "hosts-cut-reset",
  "hosts-cut-refused",
];

/** Faults of the bytes of endpoints, added after those. */
const RESPONSE_KINDS: readonly SoakFaultKind[] = [
  "responses-unframed",
  "responses-reset",
  "responses-endless",
];

/** Responses that are no HTTP, added after those. */
const MALFORMED_KINDS: readonly SoakFaultKind[] = ["responses-malformed"];

/** The mean pause between two faults, in milliseconds; most last longer, so that they overlap. */
const MEAN_PAUSE_MS = 700;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 2_500;
const LATER_MEAN_PAUSE_MS = 2_000;
const CUT_MEAN_PAUSE_MS = 3_000;
const RESPONSE_MEAN_PAUSE_MS = 2_000;
/** Above the number of anything that a fault can strike. */
const MAX_TARGETS = 1_000;

/**
 * Returns the faults of a seed, in the order of their times.
 *
 * @example
 * ```ts
 * const faults = createSoakPlan({ seed: 1, durationMs: 8000 });
 * ```
 * @param options - The seed and the size.
 */
export function createSoakPlan(options: SoakPlanOptions): readonly SoakFault[] {
  // Neighbouring seeds would begin with the same draws.
  const random = new SeededRandom(hashText(`soak ${options.seed}`));
  const later = new SeededRandom(hashText(`soak later ${options.seed}`));
  const cuts = new SeededRandom(hashText(`soak cuts ${options.seed}`));
  const responses = new SeededRandom(
    hashText(`soak responses ${options.seed}`),
  );
  const malformed = new SeededRandom(
    hashText(`soak malformed ${options.seed}`),
  );
  return [
    ...drawFaults(random, {
      ...options,
      kinds: KINDS,
      meanPauseMs: MEAN_PAUSE_MS,
    }),
    ...drawFaults(later, {
      ...options,
      kinds: LATER_KINDS,
      meanPauseMs: LATER_MEAN_PAUSE_MS,
    }),
    ...drawFaults(cuts, {
      ...options,
      kinds: CUT_KINDS,
      meanPauseMs: CUT_MEAN_PAUSE_MS,
    }),
    ...drawFaults(responses, {
      ...options,
      kinds: RESPONSE_KINDS,
      meanPauseMs: RESPONSE_MEAN_PAUSE_MS,
    }),
    ...drawFaults(malformed, {
      ...options,
      kinds: MALFORMED_KINDS,
      meanPauseMs: RESPONSE_MEAN_PAUSE_MS,
    }),
  ].toSorted((first, second) => first.atMs - second.atMs);
}

function drawFaults(
  random: SeededRandom,
  { durationMs, kinds, meanPauseMs }: {
    readonly durationMs: number;
    readonly kinds: readonly SoakFaultKind[];
    readonly meanPauseMs: number;
  },
): readonly SoakFault[] {
  const faults: SoakFault[] = [];
  let atMs = 0;
  while (true) {
    atMs += meanPauseMs * (0.2 + 1.6 * random.getFloat());
    if (atMs >= durationMs) {
      return faults;
    }
    faults.push({
      atMs,
      kind: random.getItem(kinds) ?? "kill",
      forMs: MIN_FAULT_MS + random.getInteger(MAX_FAULT_MS - MIN_FAULT_MS),
      target: random.getInteger(MAX_TARGETS),
    });
  }
}
