/**
 * A client that breaks streams off, takes them up at other hosts, and keeps what it
 * holds of each one.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { EventDecoder } from "@briarhill/platform/engine/event_decoder";
import {
  ATTEMPT_ID,
  DEADLINE_MS,
  LAST_EVENT_ID,
  RESUMES,
} from "@briarhill/platform/names/headers";
import { type IncomingMessage, request } from "node:http";
import { SERVICE_HOST } from "./platform_configuration.ts";

/** The path of the streams in the stand-in's configuration. */
const STREAM_PATH = "/streams/s";

/** Options of a client's stream. */
export interface ClientStreamOptions {
  /** The id of the stream; its attempts have ids that begin with it. */
  readonly id: string;
  readonly deadlineMs: number;
}

/** The end of one try to read a stream. */
export interface StreamTry {
  /** The status of the response; 0 if the connection broke before it. */
  readonly status: number;
  readonly retryAfterS: number;
  /** The number of events that this try has brought. */
  readonly events: number;
}

/** A stream as its client holds it, over all tries. */
export class ClientStream {
  readonly #options: ClientStreamOptions;
  readonly #texts: string[] = [];
  #lastEventId = -1;
  #firstAttemptId = "";
  #tries = 0;
  #isComplete = false;

  constructor(options: ClientStreamOptions) {
    this.#options = options;
  }

  /** The id of the stream. */
  get id(): string {
    return this.#options.id;
  }

  /** The data of the events received so far, one per line. */
  get text(): string {
    return this.#texts.join("\n");
  }

  /** Whether it has ended after its last event. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Whether it has any events. */
  get hasBegun(): boolean {
    return this.#texts.length > 0;
  }

  /** The software versions that have generated its events. */
  get versions(): readonly string[] {
    const versions = this.#texts.map((text) =>
      text.includes("-") ? text.split("-", 1)[0] ?? "" : "v1"
    );
    return [...new Set(versions)];
  }

  /**
   * Begins the stream, or takes it up, and breaks it off after a number of events.
   *
   * @param address - The address of the host.
   * @param maxEvents - The number of events after which the client disconnects.
   */
  readEvents(address: HttpAddress, maxEvents = Infinity): Promise<StreamTry> {
    const { id, deadlineMs } = this.#options;
    const attemptId = `${id}.${this.#tries++}`;
    const outgoing = request({
      host: address.hostname,
      port: address.port,
      method: "POST",
      path: STREAM_PATH,
      headers: this.#createHeaders(attemptId),
      agent: false,
      signal: AbortSignal.timeout(deadlineMs),
    });
    outgoing.end(id);
    return new Promise((resolve) => {
      outgoing.on(
        "error",
        () => resolve({ status: 0, retryAfterS: 0, events: 0 }),
      );
      outgoing.on(
        "response",
        (response) =>
          void this.#readResponse(response, { attemptId, maxEvents })
            .then(resolve),
      );
    });
  }

  async #readResponse(
    response: IncomingMessage,
    { attemptId, maxEvents }: {
      readonly attemptId: string;
      readonly maxEvents: number;
    },
  ): Promise<StreamTry> {
    const decoder = new EventDecoder();
    const status = response.statusCode ?? 0;
    const retryAfterS = Number(response.headers["retry-after"] ?? 0);
    let events = 0;
    // A broken connection ends the try; the client keeps what it has.
    response.on("error", () => undefined);
    response.on("data", (bytes: Buffer) => {
      for (const event of status === 200 ? decoder.addBytes(bytes) : []) {
        if (events < maxEvents) {
          events++;
          this.#addEvent(attemptId, event);
        }
      }
      if (events >= maxEvents) {
        response.destroy();
      }
    });
    await new Promise((resolve) => response.on("close", resolve));
    this.#isComplete ||= status === 200 && response.complete &&
      events < maxEvents;
    return { status, retryAfterS, events };
  }

  #createHeaders(attemptId: string): Record<string, string> {
    return {
      host: SERVICE_HOST,
      [ATTEMPT_ID]: attemptId,
      [DEADLINE_MS]: String(this.#options.deadlineMs),
      ...(this.hasBegun
        ? {
          [RESUMES]: this.#firstAttemptId,
          [LAST_EVENT_ID]: String(this.#lastEventId),
        }
        : {}),
    };
  }

  #addEvent(
    attemptId: string,
    { id, data }: { readonly id: number; readonly data: string },
  ): void {
    if (!this.hasBegun) {
      this.#firstAttemptId = attemptId;
    }
    this.#texts.push(data);
    this.#lastEventId = id;
  }
}
