/**
 * Callers that go on to the next node after a failure, and write down each
 * attempt.
 * @module
 */
import type { PortError } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import { type HttpCall, HttpClient } from "@briarhill/ports/http/http_client";
import { parseEvents } from "../caller/live_caller.ts";
import type { Attempt, LiveRecord, ServiceRecord } from "./call_record.ts";

const MAX_ATTEMPTS = 40;
const RETRY_MS = 100;
const PAUSE_MS = 50;
const MAX_TOKENS = 256;
const SILENCE_MS = 6000;
const STREAM_OPERATION = "complete";

/** A streamed answer whose first part was read. */
export interface BegunStream {
  readonly node: number;
  /** The streams of the node that have begun and not ended, this one included. */
  readonly open: number;
}

/** What callers run with. */
export interface CallerLoadOptions {
  readonly addresses: readonly string[];
  readonly key: string;
  readonly clock: Clock;
  readonly seed: number;
  readonly liveCallers: number;
  readonly serviceCallers: number;
  /** Called when the first part of a streamed answer was read. */
  readonly onFirstPart: (begun: BegunStream) => void;
}

interface CallEnd<T> {
  readonly attempts: readonly Attempt[];
  /** Undefined where no attempt was whole. */
  readonly answer: T | undefined;
}

/** Live callers and callers of a service, side by side. */
export class CallerLoad {
  /** What is going on; written down with each call. */
  phase = "start";
  readonly live: LiveRecord[] = [];
  readonly services: ServiceRecord[] = [];
  readonly #options: CallerLoadOptions;
  readonly #clients: readonly HttpClient[];
  /** The streams of each node that have begun and not ended. */
  readonly #open = new Map<number, number>();
  #next = 0;

  constructor(options: CallerLoadOptions) {
    this.#options = options;
    this.#clients = options.addresses.map((address) =>
      new HttpClient("briarhill", address, {
        firstByteTimeoutMs: SILENCE_MS,
        progressTimeoutMs: SILENCE_MS,
      })
    );
  }

  /**
   * Calls until the signal aborts; calls that have begun are finished.
   *
   * @param signal - Ends the load.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { liveCallers, serviceCallers } = this.#options;
    await Promise.all([
      ...this.#createLoops(liveCallers, signal, () => this.#runLive()),
      ...this.#createLoops(serviceCallers, signal, () => this.#runService()),
    ]);
    await Promise.all(this.#clients.map((client) => client.abort()));
  }

  #createLoops(
    count: number,
    signal: AbortSignal,
    call: () => Promise<void>,
  ): readonly Promise<void>[] {
    return Array.from({ length: count }, async () => {
      while (!signal.aborted) {
        await call();
        await this.#options.clock.sleep(PAUSE_MS, signal);
      }
    });
  }

  async #runLive(): Promise<void> {
    const number = this.#next++;
    const seed = this.#options.seed + number;
    const prompt = `Names for square ${number}: `;
    const { phase } = this;
    const { attempts, answer } = await this.#runCall(number, {
      operation: STREAM_OPERATION,
      method: "POST",
      path: "/v1/completions",
      body: JSON.stringify({
        model: "names-es",
        prompt,
        seed,
        max_tokens: MAX_TOKENS,
        stream: true,
      }),
    }, parseEvents);
    const maxTokens = MAX_TOKENS;
    this.live.push({ phase, attempts, prompt, seed, maxTokens, answer });
  }

  async #runService(): Promise<void> {
    const number = this.#next++;
    const key = `entry-${number}`;
    const { phase } = this;
    const { attempts, answer } = await this.#runCall(number, {
      operation: "register",
      method: "POST",
      path: "/services/register/entries",
      headers: { "idempotency-key": key, "briarhill-non-idempotent": "true" },
      body: JSON.stringify({ number }),
    }, (text) => text);
    this.services.push({ phase, key, attempts, answer });
  }

  async #runCall<T>(
    number: number,
    call: HttpCall,
    read: (text: string) => T,
  ): Promise<CallEnd<T>> {
    const attempts: Attempt[] = [];
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const node = (number + attempt) % this.#clients.length;
      const { answer, ...ended } = await this.#runAttempt(node, call, read);
      attempts.push(ended);
      if (answer !== undefined) {
        return { attempts, answer };
      }
      await this.#options.clock.sleep(RETRY_MS);
    }
    return { attempts, answer: undefined };
  }

  async #runAttempt<T>(
    node: number,
    call: HttpCall,
    read: (text: string) => T,
  ): Promise<Attempt & { readonly answer: T | undefined }> {
    const { clock } = this.#options;
    const client = this.#clients[node] as HttpClient;
    const startedAtMs = clock.getMonotonicMs();
    let ending: Attempt["ending"] = "failed";
    const createAttempt = (outcome: Outcome, message: string): Attempt => {
      const endedAtMs = clock.getMonotonicMs();
      return { node, startedAtMs, endedAtMs, ending, outcome, message };
    };
    try {
      const reply = await client.sendOrThrow(this.#addKey(call));
      ending = "broken";
      const observed = call.operation === STREAM_OPERATION
        ? { ...reply, body: this.#readParts(reply.body, node) }
        : reply;
      const answer = read(await client.readText(observed, call.operation));
      ending = "whole";
      return { ...createAttempt("ran", ""), answer };
    } catch (error) {
      const { outcome, message } = error as PortError;
      return { ...createAttempt(outcome, message), answer: undefined };
    }
  }

  async *#readParts(
    body: AsyncIterable<Uint8Array>,
    node: number,
  ): AsyncIterable<Uint8Array> {
    let hasBegun = false;
    try {
      for await (const part of body) {
        if (!hasBegun) {
          hasBegun = true;
          this.#onBegun(node);
        }
        yield part;
      }
    } finally {
      const open = this.#open.get(node) ?? 0;
      this.#open.set(node, open - (hasBegun ? 1 : 0));
    }
  }

  #onBegun(node: number): void {
    const open = 1 + (this.#open.get(node) ?? 0);
    this.#open.set(node, open);
    this.#options.onFirstPart({ node, open });
  }

  #addKey(call: HttpCall): HttpCall {
    const headers = {
      ...call.headers,
      authorization: `Bearer ${this.#options.key}`,
      "content-type": "application/json",
    };
    return { ...call, headers };
  }
}
