/**
 * The takeover rule: when a new lease holder may send orders to an endpoint,
 * and when it has to read the endpoint's state. An order of the previous holder
 * must not take effect unnoticed after an order of the new one.
 * @module
 */

/** Input of the takeover rule; times are monotonic, of the new holder. */
export interface TakeoverInput {
  /** Whether the endpoint rejects orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** When the new holder sent its valid claim. */
  readonly claimedAtMs: number;
  /** The longest time from sending an order until it takes effect. */
  readonly longestOrderMs: number;
  /** When the new holder last read the endpoint's state under this claim. */
  readonly readAtMs: number | undefined;
  readonly nowMs: number;
}

/** The interval for reading an endpoint that ignores the fencing number. */
export const REREAD_INTERVAL_MS = 5_000;

/** The next step of a new holder towards an endpoint. */
export type TakeoverStep =
  /** An order of the previous holder may still take effect. */
  | { readonly kind: "wait"; readonly untilMs: number }
  /** Read the endpoint's state, on which the next orders depend. */
  | { readonly kind: "read" }
  /** Send the orders that the state lacks. */
  | { readonly kind: "order" };

/**
 * Returns the next step towards an endpoint. The claim was sent after the end
 * of the previous holder's term, and so after the last order of that holder. An
 * endpoint that ignores the fencing number is sent nothing until that order has
 * taken effect, and its state is read again and corrected for as long as the
 * lease is held.
 *
 * @example
 * ```ts
 * const step = getTakeoverStep({
 *   checksFencing: false,
 *   claimedAtMs: 0,
 *   longestOrderMs: 20_000,
 *   readAtMs: undefined,
 *   nowMs: 5_000,
 * }); // { kind: "wait", untilMs: 20_000 }
 * ```
 * @param input - The endpoint's property and the times that the rule compares.
 */
export function getTakeoverStep(input: TakeoverInput): TakeoverStep {
  const { checksFencing, readAtMs, nowMs } = input;
  if (checksFencing) {
    return { kind: readAtMs === undefined ? "read" : "order" };
  }
  const untilMs = input.claimedAtMs + input.longestOrderMs;
  if (nowMs < untilMs) {
    return { kind: "wait", untilMs };
  }
  const isStale = readAtMs === undefined ||
    nowMs - readAtMs >= REREAD_INTERVAL_MS;
  return { kind: isStale ? "read" : "order" };
}
