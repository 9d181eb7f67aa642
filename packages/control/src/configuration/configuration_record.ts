/**
 * The schema and encoding of the records of the configuration log, which hold
 * the changes that operators publish.
 * @module
 */
import { NAME } from "@briarhill/contract/contract/contract_schema";
import { z } from "zod";

/** The stream of the platform's log that holds the configuration. */
export const CONFIGURATION_STREAM = "configuration";

/** The revision of a subject that has no accepted record yet. */
export const NO_REVISION = -1;

const count = z.number().int().min(0);
const sections = z.record(
  z.string(),
  z.record(z.string(), z.union([z.string(), z.array(z.string())])),
);

/** The schema of a record's identity; each writer process has one session. */
export const RECORD_ID = z.object({
  writer: z.string().min(1).max(200),
  session: z.string().min(1).max(64),
  sequence: count,
});

/** Identifies a record, so that its writer recognizes it in the log. */
export type RecordId = Readonly<z.output<typeof RECORD_ID>>;

const BASE = RECORD_ID.extend({
  /** The revision of the subject that the writer had read. */
  basedOn: z.number().int().min(NO_REVISION),
});

/** The schema of a drain's target. */
export const DRAIN_TARGET = z.object({
  kind: z.enum(["host", "endpoint", "failure-domain"]),
  name: NAME,
});

/** The host, endpoint or failure domain that a drain applies to. */
export type DrainTarget = Readonly<z.output<typeof DRAIN_TARGET>>;

/** The schema of the platform's capacity. */
export const CAPACITY = z.object({
  customers: z.array(NAME),
  models: z.array(NAME),
  services: z.array(NAME),
  maxOpenCalls: count,
  maxTokens: count,
  maxBodyBytes: count,
  failureDomains: z.array(z.object({ name: NAME, region: NAME })),
});

/** The schema of a record of the configuration log. */
export const CONFIGURATION_RECORD = z.discriminatedUnion("kind", [
  BASE.extend({ kind: z.literal("contract"), customer: NAME, sections }),
  BASE.extend({
    kind: z.literal("amendment"),
    customer: NAME,
    sections,
    removed: z.array(z.string()),
  }),
  BASE.extend({ kind: z.literal("removal"), customer: NAME }),
  BASE.extend({
    kind: z.literal("drain"),
    target: DRAIN_TARGET,
    draining: z.boolean(),
  }),
  BASE.extend({ kind: z.literal("capacity"), capacity: CAPACITY }),
]);

/** A record of the configuration log. */
export type ConfigurationRecord = Readonly<
  z.output<typeof CONFIGURATION_RECORD>
>;

/** A change that an operator publishes: a record without its identity. */
export type ConfigurationChange = ConfigurationRecord extends infer R
  ? R extends ConfigurationRecord ? Omit<R, keyof RecordId> : never
  : never;

/** The key of what a record changes; each subject has its own revision. */
export type Subject = string;

/**
 * Returns the subject that a change applies to.
 *
 * @example
 * ```ts
 * getSubject({ kind: "removal", customer: "agencia", basedOn: 7 });
 * ```
 * @param change - The change.
 */
export function getSubject(change: ConfigurationChange): Subject {
  switch (change.kind) {
    case "capacity":
      return "capacity";
    case "drain":
      return getDrainSubject(change.target);
    default:
      return getContractSubject(change.customer);
  }
}

/**
 * Returns the subject of a customer's contract.
 *
 * @example
 * ```ts
 * state.subjects.get(getContractSubject("agencia"));
 * ```
 * @param customer - The customer.
 */
export function getContractSubject(customer: string): Subject {
  return `contract/${customer}`;
}

/**
 * Returns the subject of a drain.
 *
 * @example
 * ```ts
 * getDrainSubject({ kind: "host", name: "entry-3" });
 * ```
 * @param target - The host, endpoint or failure domain.
 */
export function getDrainSubject(target: DrainTarget): Subject {
  return `drain/${target.kind}/${target.name}`;
}

/**
 * Encodes a record for the log.
 *
 * @example
 * ```ts
 * await log.append(CONFIGURATION_STREAM, encodeConfigurationRecord(record));
 * ```
 * @param record - The record.
 */
export function encodeConfigurationRecord(record: ConfigurationRecord): string {
  return JSON.stringify(record);
}

/**
 * Decodes a record of the log; returns undefined for a malformed one.
 *
 * @example
 * ```ts
 * const record = decodeConfigurationRecord(page.records[0].value);
 * ```
 * @param value - The record as JSON.
 */
export function decodeConfigurationRecord(
  value: string,
): ConfigurationRecord | undefined {
  try {
    return CONFIGURATION_RECORD.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/**
 * Returns whether two identities are those of the same record.
 *
 * @example
 * ```ts
 * verdicts.find(({ id }) => id !== undefined && isSameRecord(id, published));
 * ```
 * @param a - The first identity.
 * @param b - The second identity.
 */
export function isSameRecord(a: RecordId, b: RecordId): boolean {
  return a.writer === b.writer && a.session === b.session &&
    a.sequence === b.sequence;
}
