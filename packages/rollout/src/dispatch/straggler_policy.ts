/**
 * Which running samples go on at a faster engine.
 *
 * Load pattern: an engine turns several times slower than its peers, and the
 * samples that it runs hold up their groups, the long ones most. Reading again
 * what a sample has so far takes an engine milliseconds, so that moving pays as
 * soon as what is left would take clearly longer here than there.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

/** How many times slower an engine has to be before samples leave it. */
const SLOWNESS_RATIO = 1.25;
/** What a move has to save, in milliseconds; reading the text again and its way take some 50. */
const MIN_SAVING_MS = 250;
/** Events without which a run's pace says little, unless it has taken long. */
const MIN_EVENTS = 3;
/** How long a run may take to its first events, in milliseconds. */
const START_MS = 700;
/** A sample is moved no more often than this. */
const MAX_MOVES = 3;

/** A running sample. */
export interface RunningSample {
  readonly sample: string;
  readonly engine: EndpointId;
  /** Events that this run has made, and in what time. */
  readonly events: number;
  readonly tookMs: number;
  /** How many events are expected to come. */
  readonly expectedLeft: number;
  readonly moves: number;
}

/** An engine that could take samples over. */
export interface FreeEngine {
  readonly id: EndpointId;
  /** The usual time of an event there, in milliseconds. */
  readonly eventMs: number;
  readonly freeSlots: number;
}

/** A sample to move. */
export interface SampleMove {
  readonly sample: string;
  readonly engine: EndpointId;
}

/**
 * Returns the samples to move, those that save most first.
 *
 * @example
 * ```ts
 * const moves = decideMoves([], [{ id: "i-1", eventMs: 35, freeSlots: 2 }]);
 * ```
 * @param running - The running samples.
 * @param engines - The engines that could take them over.
 */
export function decideMoves(
  running: readonly RunningSample[],
  engines: readonly FreeEngine[],
): readonly SampleMove[] {
  const free = new Map(engines.map((engine) => [engine.id, engine.freeSlots]));
  const moves: SampleMove[] = [];
  const candidates = running
    .flatMap((sample) => findMove(sample, engines))
    .sort((a, b) => b.savingMs - a.savingMs);
  const moved = new Set<string>();
  for (const { sample, engine } of candidates) {
    const slots = free.get(engine) ?? 0;
    if (slots > 0 && !moved.has(sample)) {
      free.set(engine, slots - 1);
      moved.add(sample);
      moves.push({ sample, engine });
    }
  }
  return moves;
}

function findMove(
  running: RunningSample,
  engines: readonly FreeEngine[],
): readonly (SampleMove & { readonly savingMs: number })[] {
  const { sample, engine, events, tookMs, expectedLeft, moves } = running;
  const isEarly = events < MIN_EVENTS && tookMs < START_MS;
  if (moves >= MAX_MOVES || isEarly) {
    return [];
  }
  const eventMs = tookMs / (events + 1);
  return engines
    .filter(({ id }) => id !== engine)
    .filter((other) => eventMs > SLOWNESS_RATIO * other.eventMs)
    .map((other) => ({
      sample,
      engine: other.id,
      savingMs: expectedLeft * (eventMs - other.eventMs),
    }))
    .filter(({ savingMs }) => savingMs >= MIN_SAVING_MS);
}
