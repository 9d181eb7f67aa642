/**
 * Encoding of configuration snapshots: the state at an offset with a SHA-256
 * over its text, split into parts that fit into records of the log.
 * @module
 */
import { createHash } from "node:crypto";
import {
  parseContractSections,
  toContractSections,
} from "@briarhill/contract/contract/contract_sections";
import { createSectionSource } from "@briarhill/contract/contract/section_source";
import { z } from "zod";
import {
  CAPACITY,
  DRAIN_TARGET,
  RECORD_ID,
} from "../configuration/configuration_record.ts";
import type {
  ConfigurationState,
  SubjectState,
  SubjectValue,
} from "../configuration/configuration_state.ts";

/** The stream of the platform's log in which snapshots are stored. */
export const SNAPSHOT_STREAM = "snapshots";

/** The format that this release reads and writes; parts of other formats are ignored. */
const SNAPSHOT_FORMAT = 1;
const MAX_PART_CHARACTERS = 262_144;

const SNAPSHOT_PART = z.object({
  format: z.literal(SNAPSHOT_FORMAT),
  offset: z.number().int().min(-1),
  sha256: z.string().length(64),
  part: z.number().int().min(0),
  parts: z.number().int().min(1),
  text: z.string(),
});

/** A part of a snapshot, as a record of the log or in a response to a peer. */
export type SnapshotPart = Readonly<z.output<typeof SNAPSHOT_PART>>;

const VALUE = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("contract"),
    sections: z.record(
      z.string(),
      z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    ),
  }),
  z.object({ kind: z.literal("removed") }),
  z.object({
    kind: z.literal("drain"),
    target: DRAIN_TARGET,
    draining: z.boolean(),
  }),
  z.object({ kind: z.literal("capacity"), capacity: CAPACITY }),
]);
const BODY = z.array(z.tuple([
  z.string(),
  z.object({
    revision: z.number().int(),
    id: RECORD_ID,
    timeMs: z.number(),
    value: VALUE,
  }),
]));

/**
 * Encodes the configuration as the parts of a snapshot.
 *
 * @example
 * ```ts
 * for (const part of encodeSnapshot(state)) {
 *   await log.append(SNAPSHOT_STREAM, JSON.stringify(part));
 * }
 * ```
 * @param state - The configuration.
 */
export function encodeSnapshot(
  state: ConfigurationState,
): readonly SnapshotPart[] {
  const text = encodeBody(state);
  const sha256 = hashText(text);
  const parts = Math.max(1, Math.ceil(text.length / MAX_PART_CHARACTERS));
  return Array.from({ length: parts }, (_, part) => ({
    format: SNAPSHOT_FORMAT,
    offset: state.offset,
    sha256,
    part,
    parts,
    text: text.slice(
      part * MAX_PART_CHARACTERS,
      (part + 1) * MAX_PART_CHARACTERS,
    ),
  }));
}

function encodeBody(state: ConfigurationState): string {
  const body: z.input<typeof BODY> = [...state.subjects].map((
    [subject, { value, ...rest }],
  ) => [subject, { ...rest, value: encodeValue(value) }]);
  return JSON.stringify([state.offset, body]);
}

function encodeValue(value: SubjectValue): z.input<typeof VALUE> {
  if (value.kind === "contract") {
    const sections = toContractSections(value.contract);
    return JSON.parse(JSON.stringify({ kind: "contract", sections }));
  }
  return value.kind === "capacity" ? JSON.parse(JSON.stringify(value)) : value;
}

/**
 * Decodes the newest complete and intact snapshot among some parts, or returns
 * undefined when there is none. Incomplete and corrupt ones are ignored.
 *
 * @example
 * ```ts
 * const state = decodeNewestSnapshot(page.records.map(({ value }) => value));
 * ```
 * @param values - The parts as JSON texts, in any order.
 */
export function decodeNewestSnapshot(
  values: readonly string[],
): ConfigurationState | undefined {
  const partsBySnapshot = new Map<string, SnapshotPart[]>();
  for (const part of values.map(parsePart)) {
    if (part !== undefined) {
      const id = `${part.offset} ${part.sha256} ${part.parts}`;
      partsBySnapshot.set(id, [...partsBySnapshot.get(id) ?? [], part]);
    }
  }
  const newestFirst = [...partsBySnapshot.values()].sort((a, b) =>
    (b[0]?.offset ?? 0) - (a[0]?.offset ?? 0)
  );
  for (const parts of newestFirst) {
    const state = decodeSnapshot(parts);
    if (state !== undefined) {
      return state;
    }
  }
  return undefined;
}

function parsePart(value: string): SnapshotPart | undefined {
  try {
    return SNAPSHOT_PART.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

function decodeSnapshot(
  parts: readonly SnapshotPart[],
): ConfigurationState | undefined {
  const [
    { parts: count, sha256, offset } = { parts: 0, sha256: "", offset: 0 },
  ] = parts;
  const texts = Array.from(
    { length: count },
    (_, index) => parts.find(({ part }) => part === index)?.text,
  );
  const text = texts.join("");
  if (texts.includes(undefined) || hashText(text) !== sha256) {
    return undefined;
  }
  return decodeBody(text, offset);
}

function decodeBody(
  text: string,
  offset: number,
): ConfigurationState | undefined {
  const schema = z.tuple([z.literal(offset), BODY]);
  const { data } = schema.safeParse(JSON.parse(text));
  if (data === undefined) {
    return undefined;
  }
  const subjects = new Map<string, SubjectState>();
  for (const [subject, { value, ...rest }] of data[1]) {
    subjects.set(subject, { ...rest, value: decodeValue(subject, value) });
  }
  return { offset, subjects };
}

function decodeValue(
  subject: string,
  value: z.output<typeof VALUE>,
): SubjectValue {
  if (value.kind !== "contract") {
    return value;
  }
  const source = createSectionSource(subject, value.sections);
  return { kind: "contract", contract: parseContractSections(source) };
}

/**
 * Returns the SHA-256 of the encoded configuration, by which hosts compare their
 * states.
 *
 * @example
 * ```ts
 * hashConfiguration(local) === hashConfiguration(remote);
 * ```
 * @param state - The configuration.
 */
export function hashConfiguration(state: ConfigurationState): string {
  return hashText(encodeBody(state));
}

function hashText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
