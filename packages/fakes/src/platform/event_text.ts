/**
 * The text that engine stand-ins generate; it shows which software version wrote it.
 * @module
 */

/** The version of endpoint stand-ins until it is set. */
export const FIRST_SOFTWARE_VERSION = "v1";
/** A version whose texts don't fit to those of the first one. */
export const SECOND_SOFTWARE_VERSION = "v2";

/**
 * Returns the data of an event.
 *
 * @example
 * ```ts
 * const data = formatEvent("v2", 0);
 * ```
 * @param softwareVersion - The software version that generates it.
 * @param id - The id of the event.
 */
export function formatEvent(softwareVersion: string, id: number): string {
  return softwareVersion === FIRST_SOFTWARE_VERSION
    ? `e${id}`
    : `${softwareVersion}-e${id}`;
}

/**
 * Returns the text of a complete stream or sample.
 *
 * @example
 * ```ts
 * const text = formatText("v2", 8);
 * ```
 * @param softwareVersion - The software version that generates it.
 * @param events - The number of events.
 */
export function formatText(softwareVersion: string, events: number): string {
  return Array.from(
    { length: events },
    (_, id) => formatEvent(softwareVersion, id),
  ).join("\n");
}
