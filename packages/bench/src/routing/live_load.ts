/**
 * Sends calls to a node or directly to the stand-ins, and times the responses.
 * @module
 */
import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import { type Dispatcher, Pool } from "undici";
import { LIVE_KEY, LIVE_MODEL } from "./live_contract.ts";

const CONNECTIONS = 512;

/** The measurements of one response. */
export interface LoadSample {
  readonly firstMs: number;
  readonly completeMs: number;
  readonly events: number;
  readonly isComplete: boolean;
}

/** A request and the rules by which the events of its response are counted. */
export interface LoadRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** The text that ends each event of the response. */
  readonly separator: string;
  /** The text that the end of a complete response contains. */
  readonly endMarker: string;
}

/** Sends requests to one address. */
export class LiveLoad {
  readonly #pool: Pool;

  constructor(address: string) {
    this.#pool = new Pool(address, { connections: CONNECTIONS });
  }

  /**
   * Sends a request and reads its response to the end.
   *
   * @param request - The request.
   */
  async send(request: LoadRequest): Promise<LoadSample> {
    const startMs = performance.now();
    const response = await this.#pool.request(buildOptions(request));
    let firstMs = 0;
    let events = 0;
    let tail = "";
    for await (const chunk of response.body) {
      firstMs ||= performance.now() - startMs;
      const text = String(chunk);
      events += text.split(request.separator).length - 1;
      tail = (tail + text).slice(-400);
    }
    return {
      firstMs,
      completeMs: performance.now() - startMs,
      events,
      isComplete: response.statusCode === 200 &&
        tail.includes(request.endMarker),
    };
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#pool.close();
  }
}

/**
 * Builds a request for a streamed completion through a node.
 *
 * @example
 * ```ts
 * const sample = await load.send(buildCompletion(286));
 * ```
 * @param maxTokens - The length of the response in tokens.
 */
export function buildCompletion(maxTokens: number): LoadRequest {
  return {
    path: "/v1/completions",
    headers: {
      authorization: `Bearer ${LIVE_KEY}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: LIVE_MODEL,
      prompt: `names for ${randomUUID()}`,
      max_tokens: maxTokens,
      stream: true,
    }),
    separator: "\n\n",
    endMarker: "[DONE]",
  };
}

/**
 * Builds the request for the same completion directly from a stand-in engine.
 *
 * @example
 * ```ts
 * const sample = await load.send(buildGeneration(286));
 * ```
 * @param maxTokens - The length of the response in tokens.
 */
export function buildGeneration(maxTokens: number): LoadRequest {
  return {
    path: "/generate",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      requestId: randomUUID(),
      model: LIVE_MODEL,
      prompt: `names for ${randomUUID()}`,
      fromToken: 0,
      sampling: { temperature: 1, topP: 1, maxTokens },
      priority: 181,
    }),
    separator: "\n",
    endMarker: "finishReason",
  };
}

/**
 * Builds a call of the stand-in service, through a node or directly.
 *
 * @example
 * ```ts
 * const sample = await load.send(buildServiceCall("/services/echo"));
 * ```
 * @param prefix - The path prefix of the service on a node; "" for a direct call.
 */
export function buildServiceCall(prefix: string): LoadRequest {
  return {
    path: `${prefix}/entries`,
    headers: {
      authorization: `Bearer ${LIVE_KEY}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({ paper: "washi", folds: 24 }),
    separator: "}",
    endMarker: "number",
  };
}

function buildOptions(request: LoadRequest): Dispatcher.RequestOptions {
  const { path, headers, body } = request;
  return { method: "POST", path, headers: { ...headers }, body };
}
