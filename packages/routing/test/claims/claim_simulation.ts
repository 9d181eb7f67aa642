import assert from "node:assert/strict";
import { CallTable } from "../../src/claims/call_table.ts";
import {
  type ClaimStructure,
  decodeClaims,
  encodeClaims,
} from "../../src/claims/claim_structure.ts";
import {
  type ClaimCommand,
  type ClaimLimits,
  ClaimWriter,
} from "../../src/claims/claim_writer.ts";
import { decideRepeat } from "../../src/claims/repeat_decision.ts";

interface InFlightAppend {
  readonly host: number;
  readonly incarnation: number;
  readonly claims: readonly ClaimStructure[];
  isWritten: boolean;
}

interface SimulatedHost {
  incarnation: number;
  table: CallTable;
  writer: ClaimWriter;
  reads: number[];
}

/**
 * Simulates hosts that all write to one stream of a log. An append may be
 * written late, twice or never, and its response may be lost.
 */
export class ClaimSimulation {
  readonly hosts: SimulatedHost[];
  readonly log: { readonly value: string; readonly timeMs: number }[] = [];
  readonly inFlight: InFlightAppend[] = [];
  readonly sent: { readonly callId: string; readonly keyHash: string }[] = [];
  readonly notRun = new Set<string>();
  readonly partitionedHosts = new Set<number>();
  readonly #claims = new Map<string, ClaimStructure>();
  #calls = 0;
  nowMs = 0;

  readonly #limits: ClaimLimits;

  constructor(hosts: number, limits: ClaimLimits = {}) {
    this.#limits = limits;
    this.hosts = Array.from({ length: hosts }, () => createHost(limits));
  }

  open(host: number, options: { key: string; supersedes?: string }): void {
    const { table, writer, incarnation } = this.#getHost(host);
    const callId = `c${this.#calls++}`;
    const claim = {
      callId,
      keyHash: options.key,
      holder: `${host}`,
      incarnation,
      ...(options.supersedes === undefined
        ? {}
        : { supersedes: options.supersedes }),
    };
    this.#claims.set(callId, claim);
    table.open(callId, this.nowMs);
    this.#apply(host, writer.add([claim], this.nowMs));
  }

  /** Writes an append to the log: possibly late, after its response was lost, or repeatedly. */
  writeAppend(pick: number): void {
    const found = this.inFlight[pick % Math.max(1, this.inFlight.length)];
    if (found !== undefined) {
      found.isWritten = true;
      const value = encodeClaims(found.claims);
      this.log.push({ value, timeMs: this.nowMs });
    }
  }

  /** Delivers the response of an append, or the loss of that response, to the writer. */
  finishAppend(pick: number, isResponseLost: boolean): void {
    const found = this.inFlight[pick % Math.max(1, this.inFlight.length)];
    const host = found === undefined ? undefined : this.hosts[found.host];
    if (found === undefined || host?.incarnation !== found.incarnation) {
      return;
    }
    // An append that is not written yet may still be, unless the log rejected it.
    const outcome = isResponseLost
      ? "unknown"
      : found.isWritten
      ? "ran"
      : "not-run";
    if (outcome === "not-run") {
      this.inFlight.splice(this.inFlight.indexOf(found), 1);
    }
    const { nowMs } = this;
    this.#apply(
      found.host,
      host.writer.handleAppend(found.claims, { outcome, nowMs }),
    );
  }

  read(index: number, isFailed: boolean): void {
    const host = this.#getHost(index);
    const from = host.reads.shift();
    if (from === undefined) {
      return;
    }
    const records = this.log.slice(from).map(({ value, timeMs }, count) => ({
      offset: from + count,
      timeMs,
      claims: decodeClaims(value),
    }));
    const page = isFailed ? undefined : { records, firstOffset: 0 };
    this.#apply(index, host.writer.handlePage(page, this.nowMs));
  }

  advance(byMs: number): void {
    this.nowMs += byMs;
    this.hosts.forEach(({ writer }, index) =>
      this.#apply(index, writer.advance(this.nowMs))
    );
  }

  crash(index: number): void {
    const { incarnation } = this.#getHost(index);
    const host = createHost(this.#limits);
    this.hosts[index] = { ...host, incarnation: incarnation + 1 };
  }

  /** Ends a sent call with the service's response or with a connection failure. */
  finishCall(pick: number, outcome: "ran" | "unknown" | "not-run"): void {
    const call = this.sent[pick % Math.max(1, this.sent.length)];
    const claim = call && this.#claims.get(call.callId);
    if (call === undefined || claim === undefined) {
      return;
    }
    const { table, incarnation } = this.#getHost(Number(claim.holder));
    if (
      incarnation !== claim.incarnation ||
      table.getState(call.callId) !== "running"
    ) {
      return;
    }
    if (outcome === "ran") {
      table.handle(call.callId, { type: "answered" });
      return;
    }
    table.handle(call.callId, { type: "broken", outcome });
    if (outcome === "not-run") {
      this.sent.splice(this.sent.indexOf(call), 1);
      this.notRun.add(call.callId);
    }
  }

  /** Checks that each key was sent at most once, and that no call reported as not-run was sent. */
  checkAtMostOnce(): void {
    const keys = this.sent.map(({ keyHash }) => keyHash);
    assert.equal(
      new Set(keys).size,
      keys.length,
      `some of these keys were sent twice: ${keys}`,
    );
    for (const { callId } of this.sent) {
      assert.ok(
        !this.notRun.has(callId),
        `${callId} was sent, but reported as not-run`,
      );
    }
  }

  #apply(index: number, commands: readonly ClaimCommand[]): void {
    const host = this.#getHost(index);
    for (const command of commands) {
      if (command.kind === "append") {
        const { claims } = command;
        const { incarnation } = host;
        this.inFlight.push({
          host: index,
          incarnation,
          claims,
          isWritten: false,
        });
      } else if (command.kind === "read") {
        host.reads.push(command.from);
      } else if (command.kind === "settle") {
        this.#settle(index, command);
      }
    }
  }

  #settle(
    index: number,
    settled: Extract<ClaimCommand, { kind: "settle" }>,
  ): void {
    const { table } = this.#getHost(index);
    const { callId, verdict } = settled;
    const keyHash = this.#claims.get(callId)?.keyHash ?? "";
    if (table.handle(callId, { type: verdict.kind })) {
      this.sent.push({ callId, keyHash });
    } else if (verdict.kind === "unsettled") {
      this.notRun.add(callId);
    } else if (verdict.kind === "lost") {
      const { owner } = verdict;
      const decision = decideRepeat(owner, this.#fetchReport(index, owner));
      if (decision.kind === "claim") {
        this.open(index, { key: keyHash, supersedes: decision.supersedes });
      }
    }
  }

  #fetchReport(index: number, owner: ClaimStructure) {
    const holder = Number(owner.holder);
    const { table, incarnation } = this.#getHost(holder);
    const isPartitioned =
      this.partitionedHosts.has(index) !== this.partitionedHosts.has(holder);
    return isPartitioned || incarnation < owner.incarnation
      ? undefined
      : table.getReport(owner.callId);
  }

  #getHost(index: number): SimulatedHost {
    const host = this.hosts[index];
    assert.ok(host !== undefined);
    return host;
  }
}

function createHost(limits: ClaimLimits): SimulatedHost {
  return {
    incarnation: 1,
    table: new CallTable(),
    writer: new ClaimWriter(limits),
    reads: [],
  };
}
