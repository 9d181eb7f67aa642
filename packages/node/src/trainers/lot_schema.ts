/**
 * Schemas of the bodies of trainers' calls and of the messages about lots between
 * hosts.
 * @module
 */
import { z } from "zod";

/** Longest time that a pull may wait for samples. */
export const MAX_PULL_WAIT_MS = 30_000;

/** Largest number of samples that one pull returns. */
export const MAX_PULL_SAMPLES = 4096;

const COUNT = z.number().int().min(0);
const SAMPLES_PER_GROUP = z.number().int().min(1).max(4096);

/** The sampling parameters of a lot. */
export const SAMPLING = z.strictObject({
  temperature: z.number().min(0).max(2).default(1),
  topP: z.number().min(0).max(1).default(1),
  maxTokens: z.number().int().min(1),
  seed: z.number().int().optional(),
  stop: z.array(z.string()).optional(),
});

/** One prompt of a lot; its samples form a group. */
export const GROUP = z.strictObject({
  id: z.string().min(1).max(128),
  prompt: z.string(),
});

/** The body of a call that submits a lot. */
export const LOT_BODY = z.strictObject({
  step: COUNT,
  model: z.string().min(1).max(128),
  adapter: z.string().min(1).max(128).optional(),
  groups: z.array(GROUP).min(1),
  samplesPerGroup: SAMPLES_PER_GROUP,
  sampling: SAMPLING,
  deadlineMs: z.number().int().min(1).optional(),
});

/** A lot as a trainer submits it. */
export type LotBody = z.output<typeof LOT_BODY>;

/** The body of a call that announces a version of weights. */
export const VERSION_BODY = z.strictObject({
  version: z.number().int().min(0),
});

/** A lot as it is sent between hosts. */
export const LOT_MESSAGE = z.object({
  id: z.string(),
  customer: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  step: COUNT,
  groups: z.array(GROUP).min(1),
  samplesPerGroup: SAMPLES_PER_GROUP,
  sampling: SAMPLING,
  deadlineMs: z.number().int().min(1),
});

/** A part of a lot with a range of its groups; parts are sent in order. */
export const LOT_PART_MESSAGE = z.object({
  lot: LOT_MESSAGE,
  part: COUNT,
  parts: z.number().int().min(1),
});

/** Identifies a lot. */
export const LOT_NAME_MESSAGE = z.object({
  customer: z.string(),
  id: z.string(),
});

/** A pull that is forwarded to the owner of a lot. */
export const PULL_MESSAGE = LOT_NAME_MESSAGE.extend({
  cursor: COUNT,
  limit: z.number().int().min(1).max(MAX_PULL_SAMPLES),
  waitMs: z.number().min(0).max(MAX_PULL_WAIT_MS),
});

/** A pull as it is forwarded to the owner of a lot. */
export type PullMessage = z.output<typeof PULL_MESSAGE>;

/** The response to a pull, as it is sent to trainers. */
export const PULL_REPLY = z.object({
  samples: z.array(z.unknown()),
  next: z.number().int(),
  whole: z.boolean(),
  closed: z.string().optional(),
});

/** The response to a pull, as it is sent to trainers. */
export type PullReply = z.output<typeof PULL_REPLY>;

/** The progress of a lot, as it is sent to trainers. */
export const PROGRESS_REPLY = z.object({
  id: z.string(),
  size: z.number(),
  finished: z.number(),
  settled: z.number(),
  cursor: z.number(),
  delivered: z.boolean(),
  owner: z.string(),
});

/** The progress of a lot, as it is sent to trainers. */
export type ProgressReply = z.output<typeof PROGRESS_REPLY>;

/** A range of tokens that one version of the weights produced. */
export const SPAN = z.object({
  fromToken: COUNT,
  toToken: COUNT,
  version: COUNT,
});

/** A finished sample. */
export const SAMPLE = z.object({
  id: z.string(),
  lot: z.string(),
  slot: COUNT,
  attempt: COUNT,
  group: z.string(),
  indexInGroup: COUNT,
  text: z.string(),
  tokens: COUNT,
  finishReason: z.enum(["stop", "length"]),
  spans: z.array(SPAN),
  score: z.number().optional(),
});

/** Finished samples of a lot, sent before its ownership is handed over. */
export const GIVE_MESSAGE = LOT_NAME_MESSAGE.extend({
  samples: z.array(SAMPLE),
});

/** Asks the receiver to take over a lot from the owner with epoch `after`. */
export const TAKE_MESSAGE = LOT_NAME_MESSAGE.extend({
  after: z.number().int(),
});
