/**
 * The forms of what a stand-in engine is sent.
 * @module
 */
import type {
  EngineOrder,
  GenerateRequest,
} from "@briarhill/ports/engine/engine";
import { z } from "zod";

const count = z.number().int().min(0);

/** A request for generated text. */
export const GENERATE_REQUEST: z.ZodType<GenerateRequest> = z.object({
  requestId: z.string(),
  model: z.string(),
  adapter: z.string().exactOptional(),
  prompt: z.string(),
  prefix: z.string().exactOptional(),
  fromToken: count,
  sampling: z.object({
    temperature: z.number(),
    topP: z.number(),
    maxTokens: count,
    seed: z.number().exactOptional(),
    stop: z.array(z.string()).exactOptional(),
  }),
  priority: z.number(),
  kvReference: z.string().exactOptional(),
});

/** An order. */
export const ENGINE_ORDER: z.ZodType<EngineOrder> = z.discriminatedUnion(
  "kind",
  [
    z.object({
      kind: z.literal("load"),
      model: z.string(),
      version: count,
      fencing: count,
    }),
    z.object({
      kind: z.literal("switch"),
      model: z.string(),
      version: count,
      fencing: count,
    }),
    z.object({
      kind: z.literal("role"),
      role: z.enum(["mixed", "live", "rollout"]),
      fencing: count,
    }),
  ],
);
