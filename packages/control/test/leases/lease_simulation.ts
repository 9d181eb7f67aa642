/**
 * Simulates several hosts, their clocks and a log with faults, in virtual time.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { LeaseAgent } from "../../src/leases/lease_agent.ts";
import type { LeaseAppend } from "../../src/leases/lease_record.ts";
import type { LeaseTime } from "../../src/leases/lease_time.ts";
import { getTakeoverStep } from "../../src/leases/takeover.ts";

export const LEASE = "weights/names-es";
export const LONGEST_ORDER_MS = 20_000;
const RETENTION_MS = 40_000;
/** Clock rates that differ by 3 %, the most that the margins cover. */
const CLOCK_RATES = [0.985, 1, 1.015];

interface SimulatedHost {
  agent: LeaseAgent;
  epoch: number;
  wallOffsetMs: number;
  /** The time for which the monotonic clock has been stopped. */
  suspendedMs: number;
  claimedAtMs: number;
  readAtMs: number | undefined;
  fencing: number;
}

/** The result of an append in the log. */
export type AppendResult = "ok" | "answer-lost" | "late" | "lost" | "refused";

export class LeaseSimulation {
  readonly hosts: SimulatedHost[];
  readonly records: { offset: number; timeMs: number; value: string }[] = [];
  /** The last order to an endpoint that ignores fencing numbers. */
  uncheckedState = { by: -1, fencing: -1 };
  /** The highest fencing number at an endpoint that checks it. */
  checkedFencing = -1;
  holders: number[] = [];
  #first = 0;
  #nowMs = 0;
  #pending: { dueMs: number; run: () => void }[] = [];

  constructor(hosts: number) {
    this.hosts = Array.from({ length: hosts }, (_, index) => ({
      agent: this.#createAgent(index, 1),
      epoch: 1,
      wallOffsetMs: 0,
      suspendedMs: 0,
      claimedAtMs: 0,
      readAtMs: undefined,
      fencing: -1,
    }));
  }

  #createAgent(index: number, epoch: number): LeaseAgent {
    const agent = new LeaseAgent(
      { host: `h${index}`, epoch },
      new SeededRandom(index * 100 + epoch),
    );
    agent.handleSeek(LEASE, { monotonicMs: 0, wallMs: 0 });
    return agent;
  }

  getTime(index: number): LeaseTime {
    const rate = CLOCK_RATES[index % CLOCK_RATES.length] ?? 1;
    const { wallOffsetMs, suspendedMs } = this.getHost(index);
    const elapsedMs = this.#nowMs * rate;
    return {
      monotonicMs: elapsedMs - suspendedMs,
      wallMs: elapsedMs + wallOffsetMs,
    };
  }

  getHost(index: number): SimulatedHost {
    const host = this.hosts[index % this.hosts.length];
    if (host === undefined) {
      throw new RangeError(`no host ${index}`);
    }
    return host;
  }

  advance(byMs: number): void {
    const endMs = this.#nowMs + byMs;
    for (;;) {
      const [next] = this.#pending.filter(({ dueMs }) => dueMs <= endMs)
        .sort((a, b) => a.dueMs - b.dueMs);
      if (next === undefined) {
        break;
      }
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      this.#pending = this.#pending.filter((other) => other !== next);
      next.run();
    }
    this.#nowMs = endMs;
  }

  tick(index: number, result: AppendResult): void {
    const host = this.getHost(index);
    const now = this.getTime(index);
    const append = host.agent.handleTick(now);
    if (append !== undefined) {
      this.#append(index, append, result);
    }
  }

  #append(index: number, append: LeaseAppend, result: AppendResult): void {
    const store = () =>
      this.records.push({
        offset: this.records.length,
        timeMs: this.#nowMs,
        value: append.value,
      });
    if (result === "late") {
      this.#pending.push({ dueMs: this.#nowMs + 9_000, run: store });
    } else if (result === "ok" || result === "answer-lost") {
      store();
    }
    if (result !== "ok") {
      const outcome = result === "refused" ? "not-run" : "unknown";
      const failure = { outcome, now: this.getTime(index) } as const;
      this.getHost(index).agent.handleFailure(append, failure);
    }
  }

  /** Reads from a log that is `behind` records stale; the page arrives late. */
  read(index: number, options: { behind: number; lateMs: number }): void {
    const { agent } = this.getHost(index);
    const end = Math.max(this.#first, this.records.length - options.behind);
    const from = Math.max(this.#first, agent.getNextOffset() ?? this.#first);
    const page = {
      records: this.records.slice(from, end),
      first: this.#first,
      end,
    };
    const run = () => agent.handlePage(page, this.getTime(index));
    this.#pending.push({ dueMs: this.#nowMs + options.lateMs, run });
    this.advance(0);
  }

  restart(index: number): void {
    const host = this.getHost(index);
    host.epoch += 1;
    const agent = this.#createAgent(index, host.epoch);
    agent.handleSeek(LEASE, this.getTime(index));
    Object.assign(host, { agent, fencing: -1, readAtMs: undefined });
  }

  removeOldRecords(): void {
    const oldestMs = this.#nowMs - RETENTION_MS;
    while ((this.records[this.#first]?.timeMs ?? Infinity) < oldestMs) {
      this.#first += 1;
    }
  }

  getFencing(index: number): number | undefined {
    return this.getHost(index).agent.getFencing(LEASE, this.getTime(index));
  }

  listHolders(): readonly number[] {
    return this.hosts.map((_, index) => index).filter((index) =>
      this.getFencing(index) !== undefined
    );
  }

  /** Sends an order by the takeover rule; it takes effect after the delay. */
  order(index: number, delayMs: number): void {
    const host = this.getHost(index);
    const fencing = this.getFencing(index);
    if (fencing === undefined) {
      return;
    }
    if (fencing !== host.fencing) {
      const claimedAtMs = this.getTime(index).monotonicMs;
      Object.assign(host, { fencing, claimedAtMs, readAtMs: undefined });
    }
    const nowMs = this.getTime(index).monotonicMs;
    const step = getTakeoverStep({
      checksFencing: false,
      claimedAtMs: host.claimedAtMs,
      longestOrderMs: LONGEST_ORDER_MS * 1.03,
      readAtMs: host.readAtMs,
      nowMs,
    });
    if (step.kind === "read") {
      host.readAtMs = nowMs;
    }
    this.#sendOrder(index, fencing, {
      delayMs: Math.min(delayMs, LONGEST_ORDER_MS),
      changesUnchecked: step.kind === "order",
    });
  }

  #sendOrder(
    by: number,
    fencing: number,
    order: { readonly delayMs: number; readonly changesUnchecked: boolean },
  ): void {
    const run = () => {
      this.checkedFencing = Math.max(this.checkedFencing, fencing);
      if (order.changesUnchecked) {
        this.hasStaleOrder ||= fencing < this.uncheckedState.fencing;
        this.uncheckedState = { by, fencing };
      }
    };
    this.#pending.push({ dueMs: this.#nowMs + order.delayMs, run });
  }

  /** Whether an order took effect after one of a later holder. */
  hasStaleOrder = false;
}
