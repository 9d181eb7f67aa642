/**
 * Implements the HTTP client of the adapters. The outcome of a failed call must
 * not be "not-run" if the call may have taken effect.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { ByteCollector } from "@briarhill/common/http/byte_collector";
import { type Dispatcher, Pool } from "undici";
import type { z } from "zod";
import { CallProgress } from "./call_progress.ts";
import { createConnector } from "./create_connector.ts";
import { DEFAULT_HTTP_SETTINGS, type HttpSettings } from "./http_settings.ts";
import { parseJson } from "./json.ts";
import type { ReadPacer } from "./read_pacer.ts";
import { createRejectionError, isRejectionStatus } from "./rejection.ts";
import { ResetMonitor } from "./reset_monitor.ts";
import { createResponseObserver } from "./response_observer.ts";

/** An HTTP call. */
export interface HttpCall {
  /** The operation of the port, reported in errors. */
  readonly operation: string;
  readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE" | "HEAD";
  /** The path and query, starting with "/". */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | AsyncIterable<Uint8Array>;
  readonly signal?: AbortSignal | undefined;
  /** A status other than 2xx that is not a rejection, such as 304. */
  readonly acceptedStatus?: number;
  /** Added to `firstByteTimeoutMs`, such as the wait of a long poll. */
  readonly extraTimeoutMs?: number;
}

/** The head of a response, and its body as an unread stream. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Throws a {@link PortError} if reading fails. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Options of {@link HttpClient}: its limits, and the pacer of its reads. */
export interface HttpClientOptions extends Partial<HttpSettings> {
  readonly pacer?: ReadPacer;
}

/** Calls one address over persistent connections; never retries a call. */
export class HttpClient {
  readonly #port: string;
  readonly #settings: HttpSettings;
  readonly #pool: Pool;
  readonly #basePath: string;
  readonly #resets = new ResetMonitor();

  constructor(port: string, address: string, options: HttpClientOptions = {}) {
    const url = new URL(address);
    this.#port = port;
    const { pacer, ...settings } = options;
    this.#settings = { ...DEFAULT_HTTP_SETTINGS, ...settings };
    this.#basePath = url.pathname.replace(/\/$/, "");
    this.#pool = new Pool(url.origin, {
      connect: createConnector({
        timeoutMs: this.#settings.connectTimeoutMs,
        resets: this.#resets,
        pacer,
      }),
      bodyTimeout: this.#settings.progressTimeoutMs,
    });
  }

  /**
   * Sends a call once and returns the response, whatever its status.
   *
   * @param call - The call.
   */
  async send(call: HttpCall): Promise<HttpResponse> {
    const progress = new CallProgress(this.#port, call.operation);
    try {
      const response = await this.#sendRequest(call, progress);
      progress.recordResponse();
      return {
        status: response.statusCode,
        headers: toFlatHeaders(response.headers),
        body: streamBody(response.body, progress),
      };
    } catch (error) {
      throw progress.createError(error);
    }
  }

  /**
   * Sends a call once and returns the response if its status is 2xx or the
   * call's `acceptedStatus`; throws a {@link PortError} for any other status.
   *
   * @param call - The call.
   */
  async sendOrThrow(call: HttpCall): Promise<HttpResponse> {
    const response = await this.send(call);
    if (
      !isRejectionStatus(response.status) ||
      response.status === call.acceptedStatus
    ) {
      return response;
    }
    const text = await this.readText(response, call.operation);
    throw createRejectionError({ port: this.#port, call, response, text });
  }

  /**
   * Sends a call once and returns the JSON of the response after validation.
   *
   * @param call - The call.
   * @param schema - The expected schema.
   */
  async fetchJson<T extends z.ZodType>(
    call: HttpCall,
    schema: T,
  ): Promise<z.output<T>> {
    const response = await this.sendOrThrow(call);
    const text = await this.readText(response, call.operation);
    const { operation } = call;
    return parseJson(text, { schema, port: this.#port, operation });
  }

  /**
   * Reads the complete body of a response.
   *
   * @param response - The response.
   * @param operation - The operation of the port, reported in errors.
   */
  async readText(response: HttpResponse, operation: string): Promise<string> {
    const collector = new ByteCollector();
    for await (const { buffer, byteOffset, byteLength } of response.body) {
      collector.addChunk(Buffer.from(buffer, byteOffset, byteLength));
      this.#throwIfTooLong(collector.byteCount, operation);
    }
    return collector.toBuffer().toString("utf8");
  }

  /** Closes idle connections immediately, others after their calls. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  /** Destroys all connections; calls in flight fail. */
  abort(): Promise<void> {
    return this.#pool.destroy();
  }

  #sendRequest(
    call: HttpCall,
    progress: CallProgress,
  ): Promise<Dispatcher.ResponseData> {
    call.signal?.throwIfAborted();
    const observed = this.#pool.compose((dispatch) => (options, handler) =>
      dispatch(
        options,
        createResponseObserver(handler, {
          resets: this.#resets,
          onStart: () => progress.recordSent(),
        }),
      )
    );
    const options: Dispatcher.RequestOptions = {
      method: call.method,
      path: this.#basePath + call.path,
      headersTimeout: this.#settings.firstByteTimeoutMs +
        (call.extraTimeoutMs ?? 0),
      headers: { ...call.headers },
      body: (call.body ?? null) as NonNullable<
        Dispatcher.DispatchOptions["body"]
      >,
      signal: call.signal ?? null,
    };
    return observed.request(options);
  }

  #throwIfTooLong(bytes: number, operation: string): void {
    const { maxResponseBytes } = this.#settings;
    if (bytes > maxResponseBytes) {
      throw new PortError(
        `the response exceeds the limit of ${maxResponseBytes} bytes`,
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

async function* streamBody(
  body: AsyncIterable<Uint8Array>,
  progress: CallProgress,
): AsyncIterable<Uint8Array> {
  try {
    for await (const chunk of body) {
      yield chunk;
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
