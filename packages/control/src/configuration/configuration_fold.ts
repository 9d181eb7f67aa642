/**
 * Applies records of the configuration log in the order of their offsets. The
 * result may depend only on the records, so that all hosts that have applied
 * the same prefix of the log have the same state.
 * @module
 */
import { decideRecord, type Verdict } from "./configuration_decision.ts";
import {
  type ConfigurationRecord,
  decodeConfigurationRecord,
  getSubject,
  type Subject,
} from "./configuration_record.ts";
import type {
  ConfigurationState,
  SubjectState,
} from "./configuration_state.ts";

/** Tombstones are pruned at offsets that are a multiple of this. */
const PRUNE_INTERVAL_RECORDS = 1024;
/** A tombstone is pruned once it is more than this far behind the offset. */
const TOMBSTONE_RETENTION_RECORDS = 65_536;

/** A record read from the log or from a peer. */
export interface ReadRecord {
  readonly offset: number;
  readonly timeMs: number;
  readonly value: string;
}

/** A page of records read from the log or from a peer. */
export interface ReadPage {
  readonly records: readonly ReadRecord[];
  /** The first offset that can still be read from the log or the peer. */
  readonly first: number;
}

/** The verdict on one record. */
export interface RecordVerdict {
  readonly offset: number;
  readonly timeMs: number;
  /** Undefined when the record is malformed. */
  readonly record: ConfigurationRecord | undefined;
  readonly verdict: Verdict;
  /** The reason for a "conflict", "invalid" or "malformed"; else empty. */
  readonly message: string;
  /** The state of the record's subject after the record. */
  readonly inForce: SubjectState | undefined;
}

/** The state after a page of records, and the verdict on each of them. */
export interface FoldResult {
  readonly state: ConfigurationState;
  readonly verdicts: readonly RecordVerdict[];
  /** Whether the log no longer retains some records that the state lacks. */
  readonly gap: boolean;
}

/**
 * Applies the records of a page that follow the state's offset. Older records
 * are skipped, so that reading a page twice, or from a stale replica of the
 * log, changes nothing. Nothing is applied beyond a gap in the offsets.
 *
 * @example
 * ```ts
 * const { state, verdicts, gap } = applyPage(before, page);
 * ```
 * @param state - The state before the page.
 * @param page - The records, in the order of their offsets.
 */
export function applyPage(
  state: ConfigurationState,
  page: ReadPage,
): FoldResult {
  const gap = page.first > state.offset + 1;
  if (gap || page.records.every(({ offset }) => offset <= state.offset)) {
    return { state, verdicts: [], gap };
  }
  // One copy for each page; it is returned only after all records are applied.
  const subjects = new Map(state.subjects);
  const verdicts: RecordVerdict[] = [];
  let { offset } = state;
  for (const record of page.records) {
    if (record.offset === offset + 1) {
      offset = record.offset;
      verdicts.push(applyRecord({ offset, subjects }, record));
      pruneTombstones(offset, subjects);
    }
  }
  return { state: { offset, subjects }, verdicts, gap: false };
}

interface WorkingState extends ConfigurationState {
  readonly subjects: Map<Subject, SubjectState>;
}

function applyRecord(working: WorkingState, read: ReadRecord): RecordVerdict {
  const record = decodeConfigurationRecord(read.value);
  const { offset, timeMs } = read;
  if (record === undefined) {
    const message =
      "the record is malformed: it does not match the configuration schema";
    const verdict = "malformed";
    return { offset, timeMs, record, verdict, message, inForce: undefined };
  }
  const subject = getSubject(record);
  const found = working.subjects.get(subject);
  const { verdict, message, value } = decideRecord(working, record);
  const inForce = value === undefined ? found : {
    revision: offset,
    id: toRecordId(record),
    timeMs,
    value,
  };
  if (value !== undefined && inForce !== undefined) {
    working.subjects.set(subject, inForce);
  }
  return { offset, timeMs, record, verdict, message, inForce };
}

function toRecordId(record: ConfigurationRecord): SubjectState["id"] {
  const { writer, session, sequence } = record;
  return { writer, session, sequence };
}

/** Depends on offsets only, so that all hosts prune the same tombstones. */
function pruneTombstones(
  offset: number,
  subjects: Map<Subject, SubjectState>,
): void {
  if (offset % PRUNE_INTERVAL_RECORDS !== 0) {
    return;
  }
  for (const [subject, { revision, value }] of subjects) {
    const isTombstone = value.kind === "removed" ||
      (value.kind === "drain" && !value.draining);
    if (isTombstone && revision < offset - TOMBSTONE_RETENTION_RECORDS) {
      subjects.delete(subject);
    }
  }
}
