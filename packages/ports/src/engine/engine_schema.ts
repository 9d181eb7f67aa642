/**
 * Defines the schemas of the JSON that an engine sends. They must match the
 * types in `engine.ts`.
 * @module
 */
import { z } from "zod";
import type {
  CacheEvent,
  EngineState,
  GenerateChunk,
  LoadReport,
} from "./engine.ts";

const count = z.number().int().min(0);

/** The schema of one line of a generate stream. */
export const GENERATE_CHUNK: z.ZodType<GenerateChunk> = z.object({
  requestId: z.string(),
  fromToken: count,
  tokens: z.array(z.string()),
  version: count.exactOptional(),
  finishReason: z.enum(["stop", "length"]).exactOptional(),
});

/** The schema of a load report. */
export const LOAD_REPORT: z.ZodType<LoadReport> = z.object({
  endpoint: z.string(),
  incarnation: count,
  measuredAtMs: z.number(),
  running: count,
  queued: count,
  slots: count,
  kvUsed: z.number().min(0).max(1),
  tokensPerSecond: z.number().min(0),
  leaving: z.boolean(),
});

/** The schema of an engine's state. */
export const ENGINE_STATE: z.ZodType<EngineState> = z.object({
  endpoint: z.string(),
  incarnation: count,
  role: z.enum(["mixed", "live", "rollout"]),
  models: z.array(z.object({
    model: z.string(),
    version: count,
    loaded: count.exactOptional(),
    adapters: z.array(z.string()),
  })),
  leaving: z.boolean(),
});

/** The schema of a list of cache events. */
export const CACHE_EVENTS: z.ZodType<
  { readonly events: readonly CacheEvent[] }
> = z.object({
  events: z.array(z.object({
    sequence: count,
    kind: z.enum(["stored", "evicted"]),
    prefixHash: z.string(),
  })),
});

/** The schema of a reference to an exported KV cache. */
export const KV_EXPORT: z.ZodType<{ readonly reference: string }> = z.object({
  reference: z.string().min(1),
});
