/**
 * Decides where a request may run that endpoints have ended under. All hosts decide
 * by the same records. A request must not be rejected for the company it kept:
 * only endings while it ran on trial count against it alone.
 *
 * Load pattern: a request that crashes each endpoint that runs it comes again at
 * any host while many harmless requests run beside it, and endpoints also end in
 * numbers for other reasons. The first endings only put all requests that ran there
 * under suspicion. A suspect runs on one endpoint that its digest selects, so
 * that suspects are spread and each ends at most one endpoint at a time.
 * @module
 */
import { listOwners } from "@briarhill/common/hashing/rendezvous";
import type { EndpointStructure } from "../endpoints/endpoint.ts";
import { type CrashRecord, formatCrashKey } from "./crash_record.ts";

/** The time for which an ending is remembered, in milliseconds. */
export const CRASH_RETENTION_MS = 86_400_000;
/** The time for which a request is blocked after its first trial, in milliseconds; each further trial multiplies it. */
export const FIRST_BLOCK_MS = 600_000;
const BLOCK_GROWTH = 4;
/** The maximum number of requests that are remembered; the oldest are dropped first. */
const MAX_REQUESTS = 4_096;
/** The number of trials after which a request is blocked even if other suspects ran beside it. */
const MAX_TRIALS = 2;
/** The time after which a suspect may find an endpoint for its trial, in milliseconds: the usual time to restart. */
const TRIAL_RETRY_MS = 1_000;

/** What is known of a request. */
export type CrashStanding = "clear" | "suspect" | "blocked";

/** Where a request may run. */
export type CrashDecision =
  | { readonly kind: "unrestricted" }
  | { readonly kind: "trial"; readonly endpoint: EndpointStructure }
  | { readonly kind: "rejected"; readonly retryAfterMs: number };

/** The endings of endpoints that each request is suspected of. */
export class CrashHistory {
  readonly #requests = new Map<string, Map<string, CrashRecord>>();
  /** The digests of the requests that ran on trial at each ended incarnation. */
  readonly #trials = new Map<string, Set<string>>();

  /** The number of requests that are remembered. */
  get size(): number {
    return this.#requests.size;
  }

  /**
   * Adds an ending.
   *
   * @param record - The ending.
   */
  addRecord(record: CrashRecord): void {
    const { digest, isTrial } = record;
    const known = this.#requests.get(digest);
    if (known === undefined) {
      this.#removeOldest();
    }
    const records = known ?? new Map<string, CrashRecord>();
    records.set(formatCrashKey(record), record);
    this.#requests.set(digest, records);
    if (isTrial) {
      const incarnation = formatIncarnation(record);
      const digests = this.#trials.get(incarnation) ?? new Set();
      this.#trials.set(incarnation, digests.add(digest));
    }
  }

  /**
   * Removes an ending that no longer counts.
   *
   * @param key - The key of the record.
   */
  removeRecord(key: string): void {
    const digest = key.split("|", 1)[0] ?? "";
    const records = this.#requests.get(digest);
    const record = records?.get(key);
    if (records === undefined || record === undefined) {
      return;
    }
    records.delete(key);
    this.#removeTrial(record);
    if (records.size === 0) {
      this.#requests.delete(digest);
    }
  }

  /**
   * Returns the endings that a request is suspected of.
   *
   * @param digest - The digest of the request.
   */
  listRecords(digest: string): readonly CrashRecord[] {
    return [...this.#requests.get(digest)?.values() ?? []];
  }

  /**
   * Returns the endings that no longer count because of their age.
   *
   * @param nowMs - The current time in milliseconds since 1970.
   */
  listExpired(nowMs: number): readonly CrashRecord[] {
    return [...this.#requests.values()].flatMap((records) =>
      [...records.values()].filter((record) => isExpired(record, nowMs))
    );
  }

  /**
   * Returns what is known of a request.
   *
   * @param digest - The digest of the request.
   * @param nowMs - The current time in milliseconds since 1970.
   */
  getStanding(digest: string, nowMs: number): CrashStanding {
    const records = this.#listCurrent(digest, nowMs);
    if (this.#hasFailedTrial(records)) {
      return nowMs < getBlockEndMs(records) ? "blocked" : "suspect";
    }
    const isExplained = records.every((record) =>
      this.#hasOtherCause(record, nowMs)
    );
    return isExplained ? "clear" : "suspect";
  }

  /**
   * Decides where a request may run.
   *
   * @param digest - The digest of the request.
   * @param candidates - The endpoints that could serve it.
   * @param nowMs - The current time in milliseconds since 1970.
   */
  decideRun(
    digest: string,
    { candidates, nowMs }: {
      readonly candidates: readonly EndpointStructure[];
      readonly nowMs: number;
    },
  ): CrashDecision {
    const standing = this.getStanding(digest, nowMs);
    if (standing === "clear" || candidates.length === 0) {
      return { kind: "unrestricted" };
    }
    const records = this.#listCurrent(digest, nowMs);
    const versions = new Set(
      records.map(({ softwareVersion }) => softwareVersion),
    );
    const pool = standing === "suspect"
      ? candidates
      : candidates.filter(({ softwareVersion }) =>
        !versions.has(softwareVersion)
      );
    if (pool.length === 0) {
      return { kind: "rejected", retryAfterMs: getBlockEndMs(records) - nowMs };
    }
    return decideTrial(digest, pool, {
      ended: new Set(records.map(formatIncarnation)),
      isOnlyEndpoint: candidates.length === 1,
    });
  }

  #listCurrent(digest: string, nowMs: number): readonly CrashRecord[] {
    return this.listRecords(digest).filter((record) =>
      !isExpired(record, nowMs)
    );
  }

  /** A trial that ended an endpoint counts alone unless another suspect ran there too. */
  #hasFailedTrial(records: readonly CrashRecord[]): boolean {
    const trials = records.filter(({ isTrial }) => isTrial);
    return trials.length >= MAX_TRIALS ||
      trials.some((record) =>
        this.#trials.get(formatIncarnation(record))?.size === 1
      );
  }

  /** Whether the trial of another request explains an ending. */
  #hasOtherCause(record: CrashRecord, nowMs: number): boolean {
    const digests = this.#trials.get(formatIncarnation(record)) ?? [];
    return [...digests].some((digest) =>
      digest !== record.digest &&
      this.#hasFailedTrial(this.#listCurrent(digest, nowMs))
    );
  }

  #removeOldest(): void {
    if (this.#requests.size < MAX_REQUESTS) {
      return;
    }
    const [oldest = ""] = this.#requests.keys();
    this.listRecords(oldest).forEach((record) =>
      this.removeRecord(formatCrashKey(record))
    );
  }

  #removeTrial(record: CrashRecord): void {
    const incarnation = formatIncarnation(record);
    const digests = this.#trials.get(incarnation);
    digests?.delete(record.digest);
    if (digests?.size === 0) {
      this.#trials.delete(incarnation);
    }
  }
}

/** A trial never takes the last endpoint of a service that has several. */
function decideTrial(
  digest: string,
  pool: readonly EndpointStructure[],
  { ended, isOnlyEndpoint }: {
    readonly ended: ReadonlySet<string>;
    readonly isOnlyEndpoint: boolean;
  },
): CrashDecision {
  const alive = pool.filter(({ id, startedAtMs }) =>
    !ended.has(formatIncarnation({ endpoint: id, startedAtMs }))
  );
  const [owner] = listOwners(digest, {
    members: alive.map(({ id }) => id),
    count: 1,
  });
  const endpoint = alive.find(({ id }) => id === owner);
  const isLast = alive.length === 1 && !isOnlyEndpoint;
  return endpoint === undefined || isLast
    ? { kind: "rejected", retryAfterMs: TRIAL_RETRY_MS }
    : { kind: "trial", endpoint };
}

/** A request that still ends endpoints after its block is blocked longer, so that trials become rare. */
function getBlockEndMs(records: readonly CrashRecord[]): number {
  const trials = records.filter(({ isTrial }) => isTrial).length;
  const lastMs = Math.max(...records.map(({ foundAtMs }) => foundAtMs));
  return lastMs + FIRST_BLOCK_MS * BLOCK_GROWTH ** Math.max(0, trials - 1);
}

function formatIncarnation(
  { endpoint, startedAtMs }: Pick<CrashRecord, "endpoint" | "startedAtMs">,
): string {
  return `${endpoint}|${startedAtMs}`;
}

function isExpired({ foundAtMs }: CrashRecord, nowMs: number): boolean {
  return nowMs - foundAtMs >= CRASH_RETENTION_MS;
}
