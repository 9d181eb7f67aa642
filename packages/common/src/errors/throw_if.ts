/**
 * Assertions that throw a typed error.
 * @module
 */
import { InputError, NotFoundError, StateError } from "./errors.ts";

/**
 * Throws a {@link StateError} when the condition is false.
 *
 * @example
 * ```ts
 * throwIfFalse(queue.length > 0, "the queue is empty");
 * ```
 * @param condition - The condition that must hold.
 * @param message - The error message.
 */
export function throwIfFalse(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) {
    throw new StateError(message);
  }
}

/**
 * Returns the value, or throws a {@link NotFoundError} when it is undefined.
 *
 * @example
 * ```ts
 * const contract = throwIfUndefined(contracts.get(id), `no contract for customer "${id}"`);
 * ```
 * @param value - The value that may be missing.
 * @param message - The error message, which names what was looked up.
 */
export function throwIfUndefined<T>(value: T | undefined, message: string): T {
  if (value === undefined) {
    throw new NotFoundError(message);
  }
  return value;
}

/**
 * Throws an {@link InputError} unless the value is an integer within the
 * bounds.
 *
 * @example
 * ```ts
 * throwIfNotInteger(samples, { name: "samples", min: 1, max: 1024 });
 * ```
 * @param value - The value to check.
 * @param bounds - The name used in the message and the bounds, both inclusive.
 */
export function throwIfNotInteger(
  value: unknown,
  bounds: { readonly name: string; readonly min: number; readonly max: number },
): asserts value is number {
  const { name, min, max } = bounds;
  if (
    !Number.isSafeInteger(value) || (value as number) < min ||
    (value as number) > max
  ) {
    throw new InputError(
      `"${name}" is ${
        JSON.stringify(value)
      }, expected an integer from ${min} to ${max}`,
    );
  }
}
