/**
 * Implements the engine port over HTTP. Generated text is streamed as one line
 * of JSON per chunk; a stream without a finish reason must end in an error.
 * @module
 */
import type { Outcome, RequestId } from "@briarhill/common/ids/ids";
import { z } from "zod";
import {
  type HttpCall,
  HttpClient,
  type HttpClientOptions,
} from "../http/http_client.ts";
import { DEFAULT_HTTP_SETTINGS } from "../http/http_settings.ts";
import { parseJson } from "../http/json.ts";
import { readLineBatches } from "../http/line_reader.ts";
import type { ReadPacer } from "../http/read_pacer.ts";
import { parseChunkLines } from "./chunk_lines.ts";
import { mergeChunks } from "./chunk_merge.ts";
import { ChunkSequence } from "./chunk_sequence.ts";
import {
  type CacheEvent,
  Engine,
  type EngineOrder,
  type EngineState,
  type GenerateChunk,
  type GenerateRequest,
  type LoadReport,
} from "./engine.ts";
import {
  CACHE_EVENTS,
  ENGINE_STATE,
  GENERATE_CHUNK,
  KV_EXPORT,
  LOAD_REPORT,
} from "./engine_schema.ts";

const PORT = "engine";
const CANCEL_RESPONSE = z.looseObject({});

/** Calls a model engine over HTTP. */
export class HttpEngine extends Engine {
  readonly #client: HttpClient;
  /**
   * Generate streams have separate connections because only their reads are
   * paced.
   */
  readonly #streams: HttpClient;
  readonly #pacer: ReadPacer | undefined;
  readonly #maxLineBytes: number;

  constructor(address: string, options: HttpClientOptions = {}) {
    super();
    const { pacer, ...settings } = options;
    this.#client = new HttpClient(PORT, address, settings);
    this.#streams = new HttpClient(PORT, address, options);
    this.#pacer = pacer;
    this.#maxLineBytes = settings.maxResponseBytes ??
      DEFAULT_HTTP_SETTINGS.maxResponseBytes;
  }

  override async *generate(
    request: GenerateRequest,
    signal?: AbortSignal,
  ): AsyncIterable<GenerateChunk> {
    const sequence = new ChunkSequence(request);
    const close = this.#pacer?.addStream() ?? (() => undefined);
    signal?.addEventListener("abort", close, { once: true });
    let failed = false;
    try {
      const call = createPost("generate", "/generate", request);
      const response = await this.#streams.sendOrThrow({ ...call, signal });
      for await (const chunk of this.#readChunks(response.body, sequence)) {
        if (sequence.isFinished()) {
          // The consumer may never call `next` after the last chunk.
          close();
        }
        yield chunk;
      }
    } catch (error) {
      if (sequence.isFinished()) {
        return;
      }
      failed = true;
      throw error;
    } finally {
      close();
      const isWanted = failed && signal?.aborted !== true;
      if (!isWanted && !sequence.isFinished()) {
        void this.cancel(request.requestId).catch(() => undefined);
      }
    }
  }

  override async cancel(requestId: RequestId): Promise<void> {
    const call = createPost("cancel", "/cancel", { requestId });
    await this.#client.fetchJson(call, CANCEL_RESPONSE);
  }

  override getLoad(): Promise<LoadReport> {
    return this.#client.fetchJson(createGet("getLoad", "/load"), LOAD_REPORT);
  }

  override getState(): Promise<EngineState> {
    const call = createGet("getState", "/state");
    return this.#client.fetchJson(call, ENGINE_STATE);
  }

  override order(order: EngineOrder): Promise<EngineState> {
    const call = createPost("order", "/order", order);
    return this.#client.fetchJson(call, ENGINE_STATE);
  }

  override async getCacheEvents(
    after: number,
  ): Promise<readonly CacheEvent[]> {
    const call = createGet("getCacheEvents", `/cache_events?after=${after}`);
    const { events } = await this.#client.fetchJson(call, CACHE_EVENTS);
    return events;
  }

  override async exportKv(requestId: RequestId): Promise<string> {
    const call = createPost("exportKv", "/kv/export", { requestId });
    const { reference } = await this.#client.fetchJson(call, KV_EXPORT);
    return reference;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.#client.close(), this.#streams.close()]);
  }

  /**
   * Yields the merged new chunks of a batch of lines; throws at the first
   * invalid line unless the stream has finished.
   */
  *#readLines(
    lines: readonly string[],
    sequence: ChunkSequence,
  ): Iterable<GenerateChunk> {
    const { chunks, invalidLine } = parseChunkLines(lines);
    for (const chunk of mergeChunks(chunks)) {
      const newChunk = sequence.isFinished()
        ? undefined
        : sequence.apply(chunk);
      if (newChunk !== undefined) {
        yield newChunk;
      }
    }
    if (invalidLine !== undefined && !sequence.isFinished()) {
      parseChunkOrThrow(invalidLine, sequence.getOutcome());
    }
  }

  async *#readChunks(
    body: AsyncIterable<Uint8Array>,
    sequence: ChunkSequence,
  ): AsyncIterable<GenerateChunk> {
    const options = {
      port: PORT,
      operation: "generate",
      maxLineBytes: this.#maxLineBytes,
    };
    for await (const lines of readLineBatches(body, options)) {
      for (const chunk of this.#readLines(lines, sequence)) {
        yield chunk;
      }
      if (sequence.isFinished()) {
        return;
      }
    }
    sequence.throwIfUnfinished();
  }
}

function parseChunkOrThrow(line: string, outcome: Outcome): GenerateChunk {
  const source = { port: PORT, operation: "generate", outcome };
  return parseJson(line, { ...source, schema: GENERATE_CHUNK });
}

function createGet(operation: string, path: string): HttpCall {
  return { operation, method: "GET", path };
}

function createPost(operation: string, path: string, body: unknown): HttpCall {
  return {
    operation,
    method: "POST",
    path,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  };
}
