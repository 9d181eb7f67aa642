import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { Contract } from "@briarhill/contract/contract/contract";
import { Admission } from "../../src/admission/admission.ts";
import type { AdmissionCommand } from "../../src/admission/admission_structure.ts";
import { DemandTree, type TreeMessage } from "../../src/shares/demand_tree.ts";
import { computeHostLimits } from "../../src/shares/host_limits.ts";
import { buildSums, type HostNeed } from "../../src/shares/share_sums.ts";
import { TrainingThrottle } from "../../src/shares/training_throttle.ts";

export const SLOTS = 192;
const TICK_MS = 250;
const MEAN_RUN_MS = 2000;
/** Delay of a message between adjacent hosts of the tree. */
const HOP_DELAY_MS = 1500;
const REPORT_DELAY_MS = 1000;

export function createContract(
  customer: string,
  engineTime: { readonly share: number; readonly liveFloor: number },
): Contract {
  return new Contract({
    customer,
    keyHashes: [],
    engineTime: { ...engineTime, lend: true, takeBackMs: 2000 },
    live: undefined,
    services: [],
    training: undefined,
  }, 0);
}

interface SimulatedHost {
  readonly name: string;
  readonly admission: Admission;
  readonly tree: DemandTree;
  readonly throttle: TrainingThrottle;
  need: HostNeed;
  partitionSide: number;
}

interface DelayedItem<T> {
  readonly atMs: number;
  readonly item: T;
}

/** Simulates hosts that coordinate engine use only by delayed sums and load reports. */
export class ShareSimulation {
  readonly hosts: readonly SimulatedHost[];
  readonly #contracts: readonly Contract[];
  readonly #random: SeededRandom;
  readonly #backlog: (host: number, customer: string) => number;
  #messages: DelayedItem<{ from: SimulatedHost; message: TreeMessage }>[] = [];
  #reports: DelayedItem<number>[] = [];
  #completions: DelayedItem<{ host: SimulatedHost; id: string }>[] = [];
  #nowMs = 0;
  #nextId = 0;
  isPartitionDetected = false;

  constructor(options: {
    readonly hosts: number;
    readonly contracts: readonly Contract[];
    readonly seed: number;
    readonly backlog: (host: number, customer: string) => number;
  }) {
    this.#contracts = options.contracts;
    this.#random = new SeededRandom(options.seed);
    this.#backlog = options.backlog;
    this.hosts = Array.from({ length: options.hosts }, (_, index) => ({
      name: `host-${index}`,
      admission: new Admission(),
      tree: new DemandTree(`host-${index}`),
      throttle: new TrainingThrottle(),
      need: { dueSlots: 0, unmetSlots: 0 },
      partitionSide: 0,
    }));
  }

  /** Runs the simulation for a duration and returns the mean number of slots used by each customer. */
  run(durationMs: number): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    const ticks = durationMs / TICK_MS;
    for (let tick = 0; tick < ticks; tick++) {
      this.#advance();
      for (const usage of this.#listUsages()) {
        const used = usage.liveRunning + usage.rolloutsRunning;
        sums.set(
          usage.customer,
          (sums.get(usage.customer) ?? 0) + used / ticks,
        );
      }
    }
    return sums;
  }

  #listUsages() {
    return this.hosts.flatMap(({ admission }) => admission.getUsage());
  }

  #advance(): void {
    this.#nowMs += TICK_MS;
    this.#completions = takeDue(
      this.#completions,
      this.#nowMs,
      ({ host, id }) =>
        this.#apply(host, host.admission.release(id, { nowMs: this.#nowMs })),
    );
    this.#messages = takeDue(
      this.#messages,
      this.#nowMs,
      ({ from, message }) => this.#deliver(from, message),
    );
    this.#reports = takeDue(
      this.#reports,
      this.#nowMs,
      (running) =>
        this.hosts.forEach(({ throttle }) =>
          throttle.applyReports([{ running, queued: 0, slots: SLOTS }])
        ),
    );
    this.hosts.forEach((host, index) => this.#advanceHost(host, index));
    const running = this.#listUsages().reduce(
      (sum, usage) => sum + usage.liveRunning + usage.rolloutsRunning,
      0,
    );
    this.#reports.push({ atMs: this.#nowMs + REPORT_DELAY_MS, item: running });
  }

  #deliver(from: SimulatedHost, { to, kind, sums }: TreeMessage): void {
    const host = this.hosts.find(({ name }) => name === to);
    if (host?.partitionSide === from.partitionSide) {
      host.tree.record({ from: from.name, kind, sums }, this.#nowMs);
    }
  }

  /** Lists all hosts until the partition is detected, then the hosts of the same side. */
  #listMembers(host: SimulatedHost): readonly string[] {
    return this.hosts
      .filter(({ partitionSide: side }) =>
        !this.isPartitionDetected || side === host.partitionSide
      )
      .map(({ name }) => name);
  }

  #advanceHost(host: SimulatedHost, index: number): void {
    const { admission, tree, throttle } = host;
    const members = this.#listMembers(host);
    const own = buildSums(admission.getUsage(), host.need);
    tree.setHosts(members);
    tree.setLocal(own);
    const atMs = this.#nowMs + HOP_DELAY_MS;
    for (const message of tree.listMessages(this.#nowMs)) {
      this.#messages.push({ atMs, item: { from: host, message } });
    }
    const { limits, ...need } = computeHostLimits({
      contracts: this.#contracts,
      totalSlots: SLOTS,
      hosts: members.length,
      local: own,
      total: tree.getTotal(this.#nowMs),
      trainingShare: throttle.share,
    });
    host.need = need;
    this.#apply(host, admission.setLimits(limits, this.#nowMs));
    for (const usage of admission.getUsage()) {
      const wanted = this.#backlog(index, usage.customer);
      for (let queued = usage.rolloutsQueued; queued < wanted; queued++) {
        this.#addRollout(host, usage.customer);
      }
    }
    this.#apply(host, admission.advance(this.#nowMs));
  }

  #addRollout(host: SimulatedHost, customer: string): void {
    const request = {
      id: `r${this.#nextId++}`,
      customer,
      requestClass: "rollout" as const,
      cost: 10,
      deadlineMs: Infinity,
      runMs: MEAN_RUN_MS,
    };
    this.#apply(host, host.admission.admit(request, this.#nowMs));
  }

  #apply(host: SimulatedHost, commands: readonly AdmissionCommand[]): void {
    for (const { kind, id } of commands) {
      if (kind === "start") {
        const runMs = this.#random.getLogNormal(MEAN_RUN_MS, 0.5);
        this.#completions.push({
          atMs: this.#nowMs + runMs,
          item: { host, id },
        });
      }
    }
  }
}

function takeDue<T>(
  items: readonly DelayedItem<T>[],
  nowMs: number,
  apply: (item: T) => void,
): DelayedItem<T>[] {
  const remaining: DelayedItem<T>[] = [];
  for (const delayed of items) {
    if (delayed.atMs <= nowMs) {
      apply(delayed.item);
    } else {
      remaining.push(delayed);
    }
  }
  return remaining;
}
