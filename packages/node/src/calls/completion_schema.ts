/**
 * Schemas of the request bodies of the OpenAI-compatible completion API.
 * @module
 */
import { z } from "zod";

const DEFAULT_MAX_TOKENS = 256;

const COMMON_FIELDS = {
  model: z.string().min(1).max(128),
  max_tokens: z.number().int().min(1).optional(),
  temperature: z.number().min(0).max(2).default(1),
  top_p: z.number().min(0).max(1).default(1),
  seed: z.number().int().optional(),
  stop: z.union([z.string(), z.array(z.string()).max(4)]).optional(),
  stream: z.boolean().default(false),
  stream_options: z.object({ include_usage: z.boolean().default(false) })
    .nullish(),
  n: z.literal(1, "must be 1, as a call generates one completion").nullish(),
};

/** A string or an array of text parts; parts of other types, such as images, are rejected. */
const CONTENT = z.union([
  z.string(),
  z.array(z.object({ type: z.literal("text"), text: z.string() }))
    .transform((parts) => parts.map(({ text }) => text).join("")),
]);

/** The body of `/v1/completions`. */
export const COMPLETION_BODY = z.object({
  ...COMMON_FIELDS,
  prompt: z.string(),
});

/** The body of `/v1/chat/completions`. */
export const CHAT_BODY = z.object({
  ...COMMON_FIELDS,
  max_completion_tokens: z.number().int().min(1).optional(),
  messages: z.array(z.object({
    role: z.enum(["system", "developer", "user", "assistant"]),
    content: CONTENT,
  })).min(1),
});

/** A completion or chat call in the form common to both. */
export interface CompletionCall {
  readonly kind: "completion" | "chat";
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly topP: number;
  readonly seed: number | undefined;
  readonly stop: readonly string[];
  readonly stream: boolean;
  /** Whether a stream ends with an event that reports the token usage. */
  readonly includeUsage: boolean;
}

/**
 * Converts the body of `/v1/completions` to a call.
 *
 * @example
 * ```ts
 * const call = toCompletionCall(COMPLETION_BODY.parse(body));
 * ```
 * @param body - The validated body.
 */
export function toCompletionCall(
  body: z.output<typeof COMPLETION_BODY>,
): CompletionCall {
  return { ...toCommon(body), kind: "completion", prompt: body.prompt };
}

/**
 * Converts the body of `/v1/chat/completions` to a call. The messages are
 * joined to one prompt that ends with `assistant:`.
 *
 * @example
 * ```ts
 * const call = toChatCall(CHAT_BODY.parse(body));
 * ```
 * @param body - The validated body.
 */
export function toChatCall(body: z.output<typeof CHAT_BODY>): CompletionCall {
  const prompt = body.messages
    .map(({ role, content }) => `${role}: ${content}\n`)
    .join("") + "assistant:";
  const common = toCommon(body);
  const maxTokens = body.max_completion_tokens ?? common.maxTokens;
  return { ...common, kind: "chat", prompt, maxTokens };
}

function toCommon(
  body: Omit<z.output<typeof COMPLETION_BODY>, "prompt">,
): Omit<CompletionCall, "kind" | "prompt"> {
  return {
    model: body.model,
    maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
    temperature: body.temperature,
    topP: body.top_p,
    seed: body.seed,
    stop: typeof body.stop === "string" ? [body.stop] : body.stop ?? [],
    stream: body.stream,
    includeUsage: body.stream_options?.include_usage ?? false,
  };
}
