/**
 * The text that engine stand-ins generate; it shows which software version wrote it.
 * @module
 */
import { WEIGHT_VERSIONS } from "@briarhill/platform/names/headers";

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

/**
 * Returns the headers of a stream.
 *
 * @example
 * ```ts
 * const headers = createStreamHeaders({}, new Map([["m0", 1]]));
 * ```
 * @param headers - The headers of all responses.
 * @param versions - The version of the weights of each model; the highest one generates the events.
 */
export function createStreamHeaders(
  headers: Readonly<Record<string, string>>,
  versions: ReadonlyMap<string, number>,
): Readonly<Record<string, string>> {
  return {
    ...headers,
    [WEIGHT_VERSIONS]: String(Math.max(...versions.values())),
    "content-type": "text/event-stream",
  };
}
