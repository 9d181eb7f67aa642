/**
 * Writes the event streams of engine stand-ins.
 * @module
 */
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { formatEvent } from "./event_text.ts";
import type { ResponseEndings } from "./response_endings.ts";

/** What determines the events of an engine stand-in. */
export interface EventSource {
  readonly options: { readonly events: number; readonly eventMs: number };
  readonly eventDelayMs: number;
  readonly breakAfter: number;
  readonly eventBytes: number;
  readonly softwareVersion: string;
  readonly endings: ResponseEndings;
}

/**
 * Writes events up to the last one, or until the stream breaks off.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 * declare const source: EventSource;
 *
 * await writeEvents(response, { from: 0, source });
 * ```
 * @param response - The response, whose head has been written.
 * @param stream - The id of the first event, and the engine; what changes at it meanwhile applies to the next event.
 */
export async function writeEvents(
  response: ServerResponse,
  { from, source }: { readonly from: number; readonly source: EventSource },
): Promise<void> {
  const { events, eventMs } = source.options;
  for (let id = from; id < events; id++) {
    await sleep(eventMs + source.eventDelayMs);
    const data = formatEvent(source.softwareVersion, id);
    const rest = "x".repeat(source.eventBytes);
    const event = `id: ${id}\ndata: ${data}${rest}\n\n`;
    if (id - from >= source.breakAfter) {
      source.endings.closeEarly(response, `id: ${id}\nda`);
      return;
    }
    if (source.endings.isReset(response)) {
      source.endings.abort(response, event);
      return;
    }
    response.write(event);
  }
  response.end();
}
