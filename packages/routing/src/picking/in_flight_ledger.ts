/**
 * Tracks the requests that this host has in flight on each engine.
 * @module
 */
import type { EndpointId, RequestClass } from "@briarhill/common/ids/ids";

const HISTORY_MS = 10_000;

interface EngineRecord {
  live: number;
  open: number;
  readonly startsMs: number[];
  readonly endsMs: number[];
}

/**
 * Counts the requests of this host on each engine, and retains enough history to
 * correct a delayed load report by the requests started and ended since.
 */
export class InFlightLedger {
  readonly #engines = new Map<EndpointId, EngineRecord>();

  /**
   * Records the start of a request.
   *
   * @param engine - The engine that it is sent to.
   * @param options - The request's class and the current time.
   */
  recordStart(
    engine: EndpointId,
    options: { readonly requestClass: RequestClass; readonly nowMs: number },
  ): void {
    const record = this.#getOrAdd(engine);
    record.open++;
    record.live += options.requestClass === "rollout" ? 0 : 1;
    addTime(record.startsMs, options.nowMs);
  }

  /**
   * Records the end of a request, whatever its result.
   *
   * @param engine - The engine that it was sent to.
   * @param options - The request's class and the current time.
   */
  recordEnd(
    engine: EndpointId,
    options: { readonly requestClass: RequestClass; readonly nowMs: number },
  ): void {
    const record = this.#getOrAdd(engine);
    record.open--;
    record.live -= options.requestClass === "rollout" ? 0 : 1;
    addTime(record.endsMs, options.nowMs);
  }

  /**
   * Returns the number of open requests on an engine.
   *
   * @param engine - The engine.
   */
  getOpen(engine: EndpointId): number {
    return this.#engines.get(engine)?.open ?? 0;
  }

  /**
   * Returns the number of open requests on an engine that are not rollouts.
   *
   * @param engine - The engine.
   */
  getOpenLive(engine: EndpointId): number {
    return this.#engines.get(engine)?.live ?? 0;
  }

  /**
   * Returns the change in the number of this host's open requests on an engine
   * since an earlier time; negative if more ended than started.
   *
   * @param engine - The engine.
   * @param sinceMs - The earlier time.
   */
  getChangeSince(engine: EndpointId, sinceMs: number): number {
    const record = this.#engines.get(engine);
    return record === undefined ? 0 : countSince(record.startsMs, sinceMs) -
      countSince(record.endsMs, sinceMs);
  }

  /**
   * Removes the counts of an engine that no longer exists, unless it has open
   * requests.
   *
   * @param engine - The engine.
   */
  remove(engine: EndpointId): void {
    if (this.getOpen(engine) === 0) {
      this.#engines.delete(engine);
    }
  }

  #getOrAdd(engine: EndpointId): EngineRecord {
    const found = this.#engines.get(engine);
    if (found !== undefined) {
      return found;
    }
    const added = { live: 0, open: 0, startsMs: [], endsMs: [] };
    this.#engines.set(engine, added);
    return added;
  }
}

function addTime(times: number[], nowMs: number): void {
  times.push(nowMs);
  if ((times[times.length >> 1] ?? nowMs) < nowMs - HISTORY_MS) {
    times.splice(0, times.length >> 1);
  }
}

function countSince(times: readonly number[], sinceMs: number): number {
  let index = times.length;
  while (index > 0 && (times[index - 1] ?? 0) > sinceMs) {
    index--;
  }
  return times.length - index;
}
