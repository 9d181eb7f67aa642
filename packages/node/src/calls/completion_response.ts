/**
 * Sends generated text to a caller as one JSON response or as server-sent events.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import type { GenerationChunk } from "../generation/generator.ts";
import type { Exchange } from "../http/exchange.ts";
import { toProblem } from "../http/problem.ts";
import type { CompletionFormat } from "./completion_format.ts";
import type { CompletionCall } from "./completion_schema.ts";
import { EventWriter } from "./event_writer.ts";

/** Options of {@link sendFullResponse} and {@link sendStreamedResponse}. */
export interface CompletionResponseOptions {
  readonly exchange: Exchange;
  readonly call: CompletionCall;
  readonly format: CompletionFormat;
  readonly clock: Clock;
}

/**
 * Sends a JSON response once the generation has finished.
 *
 * @example
 * ```ts
 * await sendFullResponse({ exchange, call, format, clock }, chunks);
 * ```
 * @param options - The exchange to respond to and the response format.
 * @param chunks - The generated tokens.
 */
export async function sendFullResponse(
  options: CompletionResponseOptions,
  chunks: AsyncIterable<GenerationChunk>,
): Promise<void> {
  const texts: string[] = [];
  let tokens = 0;
  let finishReason: string | undefined;
  for await (const chunk of chunks) {
    texts.push(...chunk.tokens);
    tokens += chunk.tokens.length;
    finishReason = chunk.finishReason;
  }
  if (finishReason === undefined) {
    throw createIncompleteError();
  }
  const result = { finishReason, tokens };
  const body = options.format.formatResponse(texts.join(""), result);
  options.exchange.sendJson(200, body);
}

/**
 * Streams a response while it is generated. A stream that fails ends with an
 * error event and a closed connection, never with the `[DONE]` event, so that
 * the caller can't take it for a complete response.
 *
 * @example
 * ```ts
 * await sendStreamedResponse({ exchange, call, format, clock }, chunks);
 * ```
 * @param options - The exchange to respond to and the response format.
 * @param chunks - The generated tokens.
 */
export async function sendStreamedResponse(
  options: CompletionResponseOptions,
  chunks: AsyncIterable<GenerationChunk>,
): Promise<void> {
  const { exchange, format, call, clock } = options;
  const { response, signal } = exchange;
  const writer = new EventWriter({ response, signal, format, clock });
  let tokens = 0;
  let finishReason: string | undefined;
  try {
    for await (const chunk of chunks) {
      tokens += chunk.tokens.length;
      finishReason = chunk.finishReason;
      const drained = writer.write(chunk.tokens.join(""), finishReason);
      if (drained !== undefined) {
        await drained;
      }
    }
    if (finishReason === undefined) {
      throw createIncompleteError();
    }
  } catch (error) {
    await writer.abort(toProblem(error));
    throw error;
  }
  const usageEvent = call.includeUsage ? format.formatUsageEvent(tokens) : "";
  writer.finish(usageEvent);
}

function createIncompleteError(): Error {
  return new PortError("the engine's stream ended without a finish reason", {
    props: { port: "engine", fault: "incomplete", outcome: "ran" },
  });
}
