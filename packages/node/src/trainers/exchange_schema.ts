/**
 * Schemas of the messages between the owner of lots and the members that run
 * attempts of its samples.
 * @module
 */
import { z } from "zod";
import { GROUP, SAMPLE, SAMPLING, SPAN } from "./lot_schema.ts";

/** Longest time that a member may hold an exchange open for results. */
const MAX_WAIT_MS = 30_000;

const PREFIX = z.object({
  text: z.string(),
  tokens: z.number().int(),
  spans: z.array(SPAN),
});

const WORK = z.object({
  lot: z.object({
    id: z.string(),
    customer: z.string(),
    model: z.string(),
    adapter: z.string().optional(),
    sampling: SAMPLING,
    deadlineMs: z.number(),
  }),
  group: GROUP,
  slot: z.number().int(),
  indexInGroup: z.number().int(),
  attempt: z.number().int(),
  expectedTokens: z.number(),
  prefix: PREFIX.optional(),
});

const END = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("finished"), sample: SAMPLE }),
  z.object({
    kind: z.literal("broken"),
    retryAfterMs: z.number(),
    prefix: PREFIX.optional(),
  }),
]);

/** The request of an owner to a member. */
export const EXCHANGE_MESSAGE = z.object({
  /** The incarnation of the owner's process. */
  owner: z.number().int(),
  sequence: z.number().int(),
  incarnation: z.number().int(),
  runs: z.array(z.object({ number: z.number().int(), work: WORK })),
  cancels: z.array(z.number().int()),
  taken: z.array(z.number().int()),
  waitMs: z.number().min(0).max(MAX_WAIT_MS),
});

/** The request of an owner to a member. */
export type ExchangeMessage = z.output<typeof EXCHANGE_MESSAGE>;

/** The reply of a member to an owner. */
export const EXCHANGE_REPLY = z.object({
  isAccepted: z.boolean(),
  incarnation: z.number().int(),
  session: z.number().int(),
  ends: z.array(z.object({ number: z.number().int(), end: END })),
  generated: z.array(z.object({
    number: z.number().int(),
    tokens: z.number().int(),
  })),
});
