/**
 * Decides which running samples move to a faster engine.
 *
 * Under load, an engine becomes several times slower than its peers, and the
 * samples that it runs hold up their groups, the long ones most. Prefilling the
 * text that a sample has so far takes an engine milliseconds, so that a move
 * pays off as soon as the remaining events would take clearly longer on the
 * current engine than on the other one. A sample that has waited for its first
 * event is not on a slow engine: only the intervals between its events count.
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
/** Time limit for the first event of an attempt, and for each next one, in milliseconds; shorter than a load of weights takes. */
const SILENCE_TIMEOUT_MS = 700;
/** Maximum number of moves of one sample; an engine that it moved to may become slow as well. */
const MAX_MOVES_PER_SAMPLE = 3;

/** A sample and its current attempt. */
export interface RunningAttempt {
  /** The software version of the engine; the sample may only move to engines with the same one. */
  readonly softwareVersion: string;
  readonly sample: string;
  readonly engine: EndpointId;
  /** The usual time between two events of this attempt, in milliseconds; undefined after too few events. */
  readonly eventMs: number | undefined;
  /** How long the attempt has waited for its next event, in milliseconds. */
  readonly silenceMs: number;
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

/** Why a sample moves: its engine is slow, or has sent nothing for a while. */
export type MoveReason = "slow" | "silent";

/** A sample to move, and the engine that continues it. */
export interface SampleMove {
  readonly sample: string;
  readonly engine: EndpointId;
  readonly reason: MoveReason;
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
    .flatMap((attempt) => findMoves(attempt, engines))
    .sort((a, b) => b.savingMs - a.savingMs);
  const moved = new Set<string>();
  for (const { sample, engine, reason } of candidates) {
    const slots = free.get(engine) ?? 0;
    if (slots > 0 && !moved.has(sample)) {
      free.set(engine, slots - 1);
      moved.add(sample);
      moves.push({ sample, engine, reason });
    }
  }
  return moves;
}

function findMoves(
  running: RunningAttempt,
  engines: readonly MoveTarget[],
): readonly (SampleMove & { readonly savingMs: number })[] {
  const { sample, engine, silenceMs } = running;
  const reason: MoveReason = silenceMs >= SILENCE_TIMEOUT_MS
    ? "silent"
    : "slow";
  return engines
    .filter(({ id }) => id !== engine)
    .map((other) => ({
      sample,
      engine: other.id,
      reason,
      savingMs: computeSaving(running, other),
    }))
    .filter(({ savingMs }) => savingMs >= MIN_SAVING_MS);
}

/** The next event of a silent attempt is expected to take as long again. */
function computeSaving(
  { eventMs, silenceMs, expectedLeft, moves }: RunningAttempt,
  target: MoveTarget,
): number {
  if (moves >= MAX_MOVES_PER_SAMPLE) {
    return 0;
  }
  if (silenceMs >= SILENCE_TIMEOUT_MS) {
    return silenceMs;
  }
  const isSlow = eventMs !== undefined &&
    eventMs > MIN_SLOWDOWN_RATIO * target.eventMs;
  return isSlow ? expectedLeft * (eventMs - target.eventMs) : 0;
}
