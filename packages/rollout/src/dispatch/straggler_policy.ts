/**
 * Decides which running samples move to a faster engine.
 *
 * Under load, an engine becomes several times slower than its peers, and the
 * samples that it runs hold up their groups, the long ones most. Prefilling the
 * text that a sample has so far takes an engine milliseconds, so that a move
 * pays off as soon as the remaining events would take clearly longer on the
 * current engine than on the other one.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

/** Minimum ratio between the times per event of two engines before samples move. */
const MIN_SLOWDOWN_RATIO = 1.25;
/**
 * Minimum time that a move has to save, in milliseconds; the transfer and the
 * prefill of the text take some 50.
 */
const MIN_SAVING_MS = 250;
/**
 * With fewer events, an attempt's speed is unreliable, unless the attempt has
 * taken long.
 */
const MIN_EVENTS = 3;
/** Time limit for the first events of an attempt, in milliseconds. */
const FIRST_EVENTS_TIMEOUT_MS = 700;
/** Maximum number of moves of one sample. */
const MAX_MOVES_PER_SAMPLE = 3;

/** A sample and its current attempt. */
export interface RunningAttempt {
  /** The software version of the engine; the sample may only move to engines with the same one. */
  readonly softwareVersion: string;
  readonly sample: string;
  readonly engine: EndpointId;
  /** Number of events of this attempt, and the time that it has taken. */
  readonly events: number;
  readonly tookMs: number;
  /** Expected number of remaining events. */
  readonly expectedLeft: number;
  readonly moves: number;
}

/** An engine to which samples can move. */
export interface MoveTarget {
  readonly id: EndpointId;
  /** The mean time per event, in milliseconds. */
  readonly eventMs: number;
  readonly freeSlots: number;
}

/** A sample to move, and the engine that continues it. */
export interface SampleMove {
  readonly sample: string;
  readonly engine: EndpointId;
}

/**
 * Returns the samples to move, in descending order of the time saved.
 *
 * @example
 * ```ts
 * const moves = decideMoves([], [{ id: "i-1", eventMs: 35, freeSlots: 2 }]);
 * ```
 * @param running - The running samples.
 * @param engines - The engines to which they can move.
 */
export function decideMoves(
  running: readonly RunningAttempt[],
  engines: readonly MoveTarget[],
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
  running: RunningAttempt,
  engines: readonly MoveTarget[],
): readonly (SampleMove & { readonly savingMs: number })[] {
  const { sample, engine, events, tookMs, expectedLeft, moves } = running;
  const isEarly = events < MIN_EVENTS && tookMs < FIRST_EVENTS_TIMEOUT_MS;
  if (moves >= MAX_MOVES_PER_SAMPLE || isEarly) {
    return [];
  }
  const eventMs = tookMs / (events + 1);
  return engines
    .filter(({ id }) => id !== engine)
    .filter((other) => eventMs > MIN_SLOWDOWN_RATIO * other.eventMs)
    .map((other) => ({
      sample,
      engine: other.id,
      savingMs: expectedLeft * (eventMs - other.eventMs),
    }))
    .filter(({ savingMs }) => savingMs >= MIN_SAVING_MS);
}
