/**
 * Keeps this host's part of the engine slots in step with the other hosts.
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

const TICK_MS = 100;
const TICKS_PER_ROUND = 20;
/** Many hosts change slowly in sum, and each message costs the more of them. */
const TICKS_PER_SLOW_ROUND = 40;
const SLOW_ROUND_HOSTS = 100;
const SHARES_PROCEDURE = "shares.record";
const MESSAGE_TIMEOUT_MS = 2000;
const MAX_CUSTOMERS = 256;
/** What an engine that has not reported yet is taken to have. */
const DEFAULT_SLOTS = 8;

const count = z.number().min(0);
const RECEIVED = z.object({
  kind: z.enum(["part", "total"]),
  sums: z.tuple([
    count,
    count,
    count,
    z.array(z.tuple([z.string(), count, count])).max(MAX_CUSTOMERS),
  ]),
});

/** What a share keeper works with. */
export interface ShareKeeperParts {
  readonly contracts: ContractSource;
  readonly directory: EndpointDirectory;
  readonly peers: PeerNetwork;
  readonly gate: AdmissionGate;
}

/** Keeps this host's part of the engine slots in step with the other hosts. */
export class ShareKeeper {
  readonly #context: NodeContext;
  readonly #parts: ShareKeeperParts;
  readonly #tree: DemandTree;
  #own: ShareSums = NO_SUMS;
  #need: HostNeed = NO_SUMS;
  readonly #throttle = new TrainingThrottle();

  constructor(context: NodeContext, parts: ShareKeeperParts) {
    this.#context = context;
    this.#parts = parts;
    this.#tree = new DemandTree(parts.peers.getSelf().host);
    parts.peers.register(
      SHARES_PROCEDURE,
      (input, from) => this.#handleSums(input, from),
    );
    parts.directory.subscribe(() => this.#applyLimits());
    parts.contracts.subscribe(() => this.#applyLimits());
  }

  /**
   * Sends sums, renews the limits and lets admission act on time, until the
   * signal aborts.
   *
   * @param signal - Ends the work.
   */
  async run(signal: AbortSignal): Promise<void> {
    for (let due = 0, tick = 0; !signal.aborted; tick++) {
      if (tick >= due) {
        due = tick + this.#getRoundTicks();
        this.#sendSums();
        this.#applyReports();
        this.#applyLimits();
      }
      this.#parts.gate.advance();
      await this.#context.clock.sleep(TICK_MS, signal);
    }
  }

  #getRoundTicks(): number {
    return this.#listHosts().length > SLOW_ROUND_HOSTS
      ? TICKS_PER_SLOW_ROUND
      : TICKS_PER_ROUND;
  }

  #handleSums(input: unknown, from: HostId): Promise<unknown> {
    const parsed = RECEIVED.safeParse(input);
    if (parsed.success) {
      const { kind, sums } = parsed.data;
      const received = { from, kind, sums: decodeSums(sums) };
      this.#tree.record(received, this.#getNowMs());
    }
    return Promise.resolve(undefined);
  }

  #sendSums(): void {
    const { gate } = this.#parts;
    this.#own = buildSums(gate.getUsage(), this.#need);
    this.#tree.setHosts(this.#listHosts());
    this.#tree.setLocal(this.#own);
    for (const message of this.#tree.listMessages(this.#getNowMs())) {
      void this.#sendMessage(message);
    }
  }

  /** A lost message is made up for by the next one. */
  async #sendMessage({ to, kind, sums }: TreeMessage): Promise<void> {
    try {
      await this.#parts.peers.call(to, {
        procedure: SHARES_PROCEDURE,
        input: { kind, sums: encodeSums(sums) },
        timeoutMs: MESSAGE_TIMEOUT_MS,
      });
    } catch (error) {
      this.#context.logger.error("shares-send-failed", error, { peer: to });
    }
  }

  #listHosts(): readonly HostId[] {
    return this.#parts.peers.getMembers()
      .filter(({ state }) => state === "alive")
      .map(({ host }) => host);
  }

  #getNowMs(): number {
    return this.#context.clock.getMonotonicMs();
  }

  #applyReports(): void {
    const reports = this.#parts.directory.getEndpoints()
      .map(({ load }) => load)
      .filter((load) => load !== undefined);
    this.#throttle.applyReports(reports);
  }

  #applyLimits(): void {
    const { contracts, gate } = this.#parts;
    const { limits, ...need } = computeHostLimits({
      contracts: contracts.getContracts(),
      totalSlots: this.#countSlots(),
      hosts: Math.max(1, this.#listHosts().length),
      local: this.#own,
      total: this.#tree.getTotal(this.#getNowMs()),
      trainingShare: this.#throttle.share,
    });
    this.#need = need;
    gate.setLimits(limits);
  }

  /** Counts the slots of all engines; those not watched are taken for average ones. */
  #countSlots(): number {
    const engines = this.#parts.directory.getEndpoints()
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
