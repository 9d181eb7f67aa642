/**
 * The messages by which hosts announce how much of the configuration log they
 * have applied and fetch missing records or a snapshot from each other.
 * @module
 */
import { z } from "zod";
import { decodeNewestSnapshot, encodeSnapshot } from "../snapshots/snapshot.ts";
import { applyPage, type FoldResult } from "./configuration_fold.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import type { RecordTail } from "./record_tail.ts";

/** The gossip topic on which a host announces its applied offset. */
export const CONFIGURATION_TOPIC = "configuration";

/** The peer procedure that returns the records after an offset. */
export const FETCH_PROCEDURE = "configuration.fetch";

/** The schema of the announcement of a host's applied offset. */
export const CONFIGURATION_DIGEST = z.object({ offset: z.number().int() });

/** The schema of a request for all records after an offset. */
export const FETCH_REQUEST = z.object({ after: z.number().int().min(-1) });

/**
 * The schema of a response: the missing records if the peer still has all of
 * them in memory, otherwise a snapshot.
 */
export const FETCH_RESPONSE = z.object({
  offset: z.number().int().min(-1),
  records: z.array(z.object({
    offset: z.number().int().min(0),
    timeMs: z.number(),
    value: z.string(),
  })),
  snapshot: z.array(z.string()),
});

/** A response to a host that lacks records. */
export type FetchResponse = Readonly<z.output<typeof FETCH_RESPONSE>>;

/** The configuration and the newest records that a host has in memory. */
export interface LocalConfiguration {
  readonly state: ConfigurationState;
  readonly tail: RecordTail;
}

/**
 * Builds the response to a host that has applied all records up to an offset.
 *
 * @example
 * ```ts
 * peers.register(FETCH_PROCEDURE, (input) => buildFetchResponse(held, input.after));
 * ```
 * @param held - The configuration and the newest records of this host.
 * @param after - The last offset that the requesting host has applied.
 */
export function buildFetchResponse(
  held: LocalConfiguration,
  after: number,
): FetchResponse {
  const { offset } = held.state;
  if (offset <= after) {
    return { offset, records: [], snapshot: [] };
  }
  const records = held.tail.getRecordsAfter(after);
  if (records !== undefined) {
    return { offset, records: [...records], snapshot: [] };
  }
  const parts = encodeSnapshot(held.state);
  return {
    offset,
    records: [],
    snapshot: parts.map((part) => JSON.stringify(part)),
  };
}

/**
 * Applies a peer's response; a stale or corrupt one leaves the state unchanged.
 *
 * @example
 * ```ts
 * const { state } = applyFetchResponse(before, FETCH_ANSWER.parse(body));
 * ```
 * @param state - The configuration before the response.
 * @param answer - The peer's response.
 */
export function applyFetchResponse(
  state: ConfigurationState,
  answer: FetchResponse,
): FoldResult {
  const snapshot = decodeNewestSnapshot(answer.snapshot);
  const base = snapshot !== undefined && snapshot.offset > state.offset
    ? snapshot
    : state;
  const { records } = answer;
  return applyPage(base, { records, first: base.offset + 1 });
}
