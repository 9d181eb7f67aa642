/**
 * Writes the server-sent events of a streamed response.
 * @module
 */
import { DeadlineError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { CompletionFormat } from "./completion_format.ts";
import { waitWithTimeout } from "./timeout.ts";

/** Maximum wait for a caller that does not read its response; the connection is closed after it. */
const DRAIN_TIMEOUT_MS = 30_000;

/** Options of {@link EventWriter}. */
export interface EventWriterOptions {
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
  readonly format: CompletionFormat;
  readonly clock: Clock;
}

/** Writes the server-sent events of one streamed response, with backpressure. */
export class EventWriter {
  readonly #options: EventWriterOptions;

  constructor(options: EventWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes an event with generated text. Returns a promise only if the socket's
   * buffer is full; it resolves when the buffer has drained.
   *
   * @param text - The text generated since the previous event.
   * @param finishReason - Why the generation ended; undefined except on the last event.
   */
  write(
    text: string,
    finishReason: string | undefined,
  ): Promise<void> | undefined {
    const { response, format } = this.#options;
    if (!response.headersSent) {
      response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-cache",
      });
    }
    return response.write(format.formatEvent(text, finishReason))
      ? undefined
      : this.#waitForDrain();
  }

  /**
   * Ends a complete response with the `[DONE]` event.
   *
   * @param usageEvent - The event that reports the token usage, or "".
   */
  finish(usageEvent: string): void {
    this.#options.response.end(`${usageEvent}data: [DONE]\n\n`);
  }

  /**
   * Writes an error event to a response that failed. Writes nothing if no event
   * was sent before, the caller has disconnected or the socket's buffer is full.
   *
   * @param problem - The error as plain data.
   */
  async abort(problem: unknown): Promise<void> {
    const { response, signal } = this.#options;
    if (
      !response.headersSent || signal.aborted || response.writableNeedDrain
    ) {
      return;
    }
    const event = `data: ${JSON.stringify(problem)}\n\n`;
    await new Promise<void>((resolve) =>
      response.write(event, () => resolve())
    );
  }

  async #waitForDrain(): Promise<void> {
    const { response, signal, clock } = this.#options;
    await waitWithTimeout(clock, {
      promise: once(response, "drain", { signal }),
      maxWaitMs: DRAIN_TIMEOUT_MS,
      createError: () =>
        new DeadlineError(
          "the caller did not read its response within the time limit",
          {
            props: { outcome: "ran" },
          },
        ),
    });
  }
}
