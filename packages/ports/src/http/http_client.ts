/**
 * Calls over HTTP whose failures say truthfully whether the call may have run.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import {
  buildConnector,
  DecoratorHandler,
  type Dispatcher,
  Pool,
} from "undici";
import type { z } from "zod";
import { CallProgress } from "./call_progress.ts";
import { DEFAULT_HTTP_SETTINGS, type HttpSettings } from "./http_settings.ts";
import { parseJson } from "./json.ts";
import type { ReadPacer } from "./read_pacer.ts";
import { createRejection, isRejection } from "./rejection.ts";

/** One call. */
export interface HttpCall {
  /** The operation of the port, used in errors. */
  readonly operation: string;
  readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE" | "HEAD";
  /** Path and query, starting with "/". */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | AsyncIterable<Uint8Array>;
  readonly signal?: AbortSignal | undefined;
  /** A status beside 2xx that is no refusal, such as 304. */
  readonly acceptedStatus?: number;
  /** Waited for beside the settings, such as the wait of a long poll. */
  readonly extraWaitMs?: number;
}

/** The head of an answer, and its body still to be read. */
export interface HttpReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Fails with a {@link PortError}. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Limits on calls, where they differ, and what paces the reads of answers. */
export interface HttpClientOptions extends Partial<HttpSettings> {
  readonly pacer?: ReadPacer;
}

/** Calls one address over connections that stay open. */
export class HttpClient {
  readonly #port: string;
  readonly #settings: HttpSettings;
  readonly #pool: Pool;
  readonly #basePath: string;

  constructor(port: string, address: string, options: HttpClientOptions = {}) {
    const url = new URL(address);
    this.#port = port;
    const { pacer, ...settings } = options;
    this.#settings = { ...DEFAULT_HTTP_SETTINGS, ...settings };
    this.#basePath = url.pathname.replace(/\/$/, "");
    this.#pool = new Pool(url.origin, {
      connect: createConnector(this.#settings.connectTimeoutMs, pacer),
      bodyTimeout: this.#settings.progressTimeoutMs,
    });
  }

  /**
   * Calls once and returns any answer, whatever its status.
   *
   * @param call - The call.
   */
  async send(call: HttpCall): Promise<HttpReply> {
    const progress = new CallProgress(this.#port, call.operation);
    try {
      const reply = await this.#sendRequest(call, progress);
      progress.recordReply();
      return {
        status: reply.statusCode,
        headers: toFlatHeaders(reply.headers),
        body: readBody(reply.body, progress),
      };
    } catch (error) {
      throw progress.createError(error);
    }
  }

  /**
   * Calls once and returns an answer of status 2xx, or of the one that the call
   * accepts; others are a {@link PortError}.
   *
   * @param call - The call.
   */
  async sendOrThrow(call: HttpCall): Promise<HttpReply> {
    const reply = await this.send(call);
    if (!isRejection(reply.status) || reply.status === call.acceptedStatus) {
      return reply;
    }
    const text = await this.readText(reply, call.operation);
    throw createRejection({ port: this.#port, call, reply, text });
  }

  /**
   * Calls once and returns the answer's JSON after checking its form.
   *
   * @param call - The call.
   * @param schema - The form that is expected.
   */
  async fetchJson<T extends z.ZodType>(
    call: HttpCall,
    schema: T,
  ): Promise<z.output<T>> {
    const reply = await this.sendOrThrow(call);
    const text = await this.readText(reply, call.operation);
    const { operation } = call;
    return parseJson(text, { schema, port: this.#port, operation });
  }

  /**
   * Reads the whole body of an answer.
   *
   * @param reply - The answer.
   * @param operation - The operation of the port, used in errors.
   */
  async readText(reply: HttpReply, operation: string): Promise<string> {
    const parts: Uint8Array[] = [];
    let bytes = 0;
    for await (const part of reply.body) {
      parts.push(part);
      bytes += part.length;
      this.#throwIfTooLong(bytes, operation);
    }
    return Buffer.concat(parts).toString("utf8");
  }

  /** Closes idle connections at once, others after their calls. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  /** Breaks all connections off. */
  abort(): Promise<void> {
    return this.#pool.destroy();
  }

  #sendRequest(
    call: HttpCall,
    progress: CallProgress,
  ): Promise<Dispatcher.ResponseData> {
    call.signal?.throwIfAborted();
    const observed = this.#pool.compose((dispatch) => (options, handler) =>
      dispatch(options, createObserver(handler, () => progress.recordSent()))
    );
    const options: Dispatcher.RequestOptions = {
      method: call.method,
      path: this.#basePath + call.path,
      headersTimeout: this.#settings.firstByteTimeoutMs +
        (call.extraWaitMs ?? 0),
      headers: { ...call.headers },
      body: (call.body ?? null) as NonNullable<
        Dispatcher.DispatchOptions["body"]
      >,
      signal: call.signal ?? null,
    };
    return observed.request(options);
  }

  #throwIfTooLong(bytes: number, operation: string): void {
    const { maxReplyBytes } = this.#settings;
    if (bytes > maxReplyBytes) {
      throw new PortError(
        `the answer is longer than ${maxReplyBytes} bytes`,
        {
          props: {
            port: this.#port,
            operation,
            fault: "malformed",
            outcome: "ran",
          },
        },
      );
    }
  }
}

/** A paced connection stops reading at any unread byte. */
function createConnector(
  timeout: number,
  pacer: ReadPacer | undefined,
): buildConnector.connector {
  if (pacer === undefined) {
    return buildConnector({ timeout });
  }
  const stopping = { highWaterMark: undefined, readableHighWaterMark: 1 };
  const connect = buildConnector({ timeout, ...stopping });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error === null) {
        pacer.addSocket(socket);
        callback(null, socket);
      } else {
        callback(error, null);
      }
    });
}

/** Until the request starts no byte has left: connecting and queueing come before. */
function createObserver(
  handler: Dispatcher.DispatchHandler,
  onStart: () => void,
): Dispatcher.DispatchHandler {
  const inner: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
  return {
    onRequestStart: (controller, context) => {
      onStart();
      inner.onRequestStart?.(controller, context);
    },
    onResponseStart: (...head) => inner.onResponseStart?.(...head),
    onResponseData: (...data) => inner.onResponseData?.(...data),
    onResponseEnd: (...end) => inner.onResponseEnd?.(...end),
    onResponseError: (...failure) => inner.onResponseError?.(...failure),
  };
}

async function* readBody(
  body: AsyncIterable<Uint8Array>,
  progress: CallProgress,
): AsyncIterable<Uint8Array> {
  try {
    for await (const part of body) {
      yield part;
    }
  } catch (error) {
    throw progress.createError(error);
  }
}

function toFlatHeaders(
  headers: Dispatcher.ResponseData["headers"],
): Readonly<Record<string, string>> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    flat[name] = Array.isArray(value) ? value.join(", ") : value ?? "";
  }
  return flat;
}
