/**
 * The schemas of the sections of contracts, amendments and capacity files. They
 * define the file format, so their keys must not change.
 * @module
 */
import { z } from "zod";

const MAX_MS = 86_400_000;
const MAX_BYTES = 1_073_741_824;

/** The schema of the name of a customer, model, service, host or failure domain. */
export const NAME: z.ZodType<string, string> = z.string().regex(
  /^[a-z0-9][a-z0-9_.:-]{0,63}$/i,
  "expected a name of up to 64 letters, digits, '_', '.', ':' or '-'",
);
// `Number` converts an empty string to 0, which must not pass as a number.
const number = z.string().trim().min(1, "expected a number").transform(Number);
const fraction = number.pipe(z.number().min(0).max(1));
const count = (max: number) => number.pipe(z.number().int().min(0).max(max));
const yesOrNo = z.enum(["yes", "no"]).transform((text) => text === "yes");

/** The schema of the section `[contract]`. */
export const CONTRACT_SECTION = z.strictObject({ customer: NAME });

/** The schema of the section `[keys]`. */
export const KEYS_SECTION = z.strictObject({
  sha256: z.array(
    z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits"),
  ),
});

/** The schema of the section `[engine_time]`. */
export const ENGINE_TIME_SECTION = z.strictObject({
  share: fraction,
  live_floor: fraction,
  lend: yesOrNo,
  take_back_ms: count(MAX_MS),
});

/** The schema of the section `[live]`. */
export const LIVE_SECTION = z.strictObject({
  models: z.array(NAME).min(1),
  priority: count(100),
  max_open_calls: count(100_000),
  max_queued_calls: count(100_000),
  max_tokens: count(1_000_000),
  max_body_bytes: count(MAX_BYTES),
  deadline_ms: count(MAX_MS),
});

/** The schema of a section `[service NAME]`. */
export const SERVICE_SECTION = z.strictObject({
  idempotent: yesOrNo,
  max_open_calls: count(100_000),
  max_body_bytes: count(MAX_BYTES),
  deadline_ms: count(MAX_MS),
});

/** The schema of the section `[training]`. */
export const TRAINING_SECTION = z.strictObject({
  models: z.array(NAME).min(1),
  priority: count(100),
  max_versions_behind: count(1000),
  max_age_ms: count(MAX_MS),
  favours: z.enum(["idle-time", "staleness"]),
  scorer: z.url().optional(),
  max_open_lots: count(1000),
  max_samples_per_lot: count(1_000_000),
  max_tokens: count(1_000_000),
});

/** The schema of the section `[amend]`. */
export const AMEND_SECTION = z.strictObject({
  customer: NAME,
  based_on: number.pipe(z.number().int().min(-1)).optional(),
  remove: z.array(z.string().min(1)).optional(),
});

/** The schema of the section `[platform]` of a capacity file. */
export const PLATFORM_SECTION = z.strictObject({
  customers: z.array(NAME),
  models: z.array(NAME),
  services: z.array(NAME).optional(),
  max_open_calls: count(10_000_000),
  max_tokens: count(1_000_000),
  max_body_bytes: count(MAX_BYTES),
});

/** The schema of a section `[failure_domain NAME]` of a capacity file. */
export const FAILURE_DOMAIN_SECTION = z.strictObject({ region: NAME });
