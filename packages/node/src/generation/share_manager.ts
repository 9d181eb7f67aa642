/**
 * Exchanges demand with the other hosts, and sets this host's limits on engine
 * slots accordingly.
 * @module
 */
import {
  DemandTree,
  type TreeMessage,
} from "@briarhill/routing/shares/demand_tree";
import { computeHostLimits } from "@briarhill/routing/shares/host_limits";
import {
  buildSums,
  decodeSums,
  encodeSums,
  type HostNeed,
  NO_SUMS,
  type ShareSums,
} from "@briarhill/routing/shares/share_sums";
import type { HostId } from "@briarhill/common/ids/ids";
import { TrainingThrottle } from "@briarhill/routing/shares/training_throttle";
import { z } from "zod";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { AdmissionGate } from "./admission_gate.ts";

const TICK_INTERVAL_MS = 100;
const TICKS_PER_ROUND = 20;
/** The total of many hosts changes slowly, and the cost of a round grows with their number. */
const TICKS_PER_SLOW_ROUND = 40;
const SLOW_ROUND_HOSTS = 100;
const SHARES_PROCEDURE = "shares.record";
const MESSAGE_TIMEOUT_MS = 2000;
const MAX_CUSTOMERS = 256;
/** Number of slots assumed for an engine if no engine has reported its load. */
const DEFAULT_SLOTS = 8;

const count = z.number().min(0);
const RECEIVED_SUMS = z.object({
  kind: z.enum(["part", "total"]),
  sums: z.tuple([
    count,
    count,
    count,
    z.array(z.tuple([z.string(), count, count])).max(MAX_CUSTOMERS),
  ]),
});

/** Options of a {@link ShareManager}. */
export interface ShareManagerOptions {
  readonly contracts: ContractSource;
  readonly directory: EndpointDirectory;
  readonly peers: PeerNetwork;
  readonly gate: AdmissionGate;
}

/** Exchanges demand with the other hosts, and sets this host's limits on engine slots. */
export class ShareManager {
  readonly #context: NodeContext;
  readonly #options: ShareManagerOptions;
  readonly #tree: DemandTree;
  #localSums: ShareSums = NO_SUMS;
  #need: HostNeed = NO_SUMS;
  readonly #throttle = new TrainingThrottle();

  constructor(context: NodeContext, options: ShareManagerOptions) {
    this.#context = context;
    this.#options = options;
    this.#tree = new DemandTree(options.peers.getLocalMember().host);
    options.peers.register(
      SHARES_PROCEDURE,
      (input, from) => this.#handleSums(input, from),
    );
    options.directory.subscribe(() => this.#applyLimits());
    options.contracts.subscribe(() => this.#applyLimits());
  }

  /**
   * Sends the demand sums, updates the limits and advances admission until the
   * signal aborts.
   *
   * @param signal - Stops the exchange.
   */
  async run(signal: AbortSignal): Promise<void> {
    for (let due = 0, tick = 0; !signal.aborted; tick++) {
      if (tick >= due) {
        due = tick + this.#getRoundTicks();
        this.#sendSums();
        this.#applyReports();
        this.#applyLimits();
      }
      this.#options.gate.advance();
      await this.#context.clock.sleep(TICK_INTERVAL_MS, signal);
    }
  }

  #getRoundTicks(): number {
    return this.#listHosts().length > SLOW_ROUND_HOSTS
      ? TICKS_PER_SLOW_ROUND
      : TICKS_PER_ROUND;
  }

  #handleSums(input: unknown, from: HostId): Promise<unknown> {
    const parsed = RECEIVED_SUMS.safeParse(input);
    if (parsed.success) {
      const { kind, sums } = parsed.data;
      const received = { from, kind, sums: decodeSums(sums) };
      this.#tree.record(received, this.#getNowMs());
    }
    return Promise.resolve(undefined);
  }

  #sendSums(): void {
    const { gate } = this.#options;
    this.#localSums = buildSums(gate.getUsage(), this.#need);
    this.#tree.setHosts(this.#listHosts());
    this.#tree.setLocal(this.#localSums);
    for (const message of this.#tree.listMessages(this.#getNowMs())) {
      void this.#sendMessage(message);
    }
  }

  /** Sends a message once; a lost message is not retried, as the next one replaces it. */
  async #sendMessage({ to, kind, sums }: TreeMessage): Promise<void> {
    try {
      await this.#options.peers.call(to, {
        procedure: SHARES_PROCEDURE,
        input: { kind, sums: encodeSums(sums) },
        timeoutMs: MESSAGE_TIMEOUT_MS,
      });
    } catch (error) {
      this.#context.logger.error("shares-send-failed", error, { peer: to });
    }
  }

  #listHosts(): readonly HostId[] {
    return this.#options.peers.getMembers()
      .filter(({ state }) => state === "alive")
      .map(({ host }) => host);
  }

  #getNowMs(): number {
    return this.#context.clock.getMonotonicMs();
  }

  #applyReports(): void {
    const reports = this.#options.directory.getEndpoints()
      .map(({ load }) => load)
      .filter((load) => load !== undefined);
    this.#throttle.applyReports(reports);
  }

  #applyLimits(): void {
    const { contracts, gate } = this.#options;
    const { limits, ...need } = computeHostLimits({
      contracts: contracts.getContracts(),
      totalSlots: this.#countSlots(),
      hosts: Math.max(1, this.#listHosts().length),
      local: this.#localSums,
      total: this.#tree.getTotal(this.#getNowMs()),
      trainingShare: this.#throttle.share,
    });
    this.#need = need;
    gate.setLimits(limits);
  }

  /** Counts the slots of all engines; an engine without a load report counts as the mean of the others. */
  #countSlots(): number {
    const engines = this.#options.directory.getEndpoints()
      .filter(({ listed, leaving }) => listed.kind === "engine" && !leaving);
    const reports = engines.filter(({ load }) => load !== undefined);
    const slots = reports.reduce(
      (sum, { load }) => sum + (load?.slots ?? 0),
      0,
    );
    const mean = reports.length === 0 ? DEFAULT_SLOTS : slots / reports.length;
    return mean * engines.length;
  }
}
