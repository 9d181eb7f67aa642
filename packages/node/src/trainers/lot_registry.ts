/**
 * Registers the lots that this host owns and starts their owners. The log decides
 * who owns a lot, so a claim counts only once the log has confirmed it.
 * @module
 */
import { DeadlineError, RefusedError } from "@briarhill/common/errors/errors";
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { Contract } from "@briarhill/contract/contract/contract";
import { LotOwner } from "@briarhill/rollout/delivery/lot_owner";
import type { LotProgress } from "@briarhill/rollout/delivery/owner_command";
import { Lot } from "@briarhill/rollout/lots/lot";
import type { LotStructure } from "@briarhill/rollout/lots/lot_structure";
import type { SampleStructure } from "@briarhill/rollout/samples/sample_structure";
import { StalenessRule } from "@briarhill/rollout/staleness/staleness_rule";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { Lifecycle } from "../stops/lifecycle.ts";
import type { WeightVersions } from "../weights/weight_versions.ts";
import type { LotReplicas } from "./lot_replicas.ts";
import { LotRoutes } from "./lot_routes.ts";
import { OpenLots } from "./open_lots.ts";
import { LotLog } from "./lot_log.ts";
import { getLotKey, type LotName } from "./lot_name.ts";
import { LotRunner } from "./lot_runner.ts";
import {
  getTrainingContractOrThrow,
  getTrainingOrThrow,
} from "./training_terms.ts";
import { RolloutMetrics } from "./rollout_metrics.ts";
import type { SampleProducer } from "./sample_producer.ts";

const RETRY_AFTER_MS = 1000;
const CLAIM_TIMEOUT_MS = 10_000;

/** Options of `LotRegistry`. */
export interface LotRegistryOptions {
  readonly contracts: ContractSource;
  readonly weights: WeightVersions;
  readonly peers: PeerNetwork;
  readonly replicas: LotReplicas;
  readonly producer: SampleProducer;
  readonly lifecycle: Lifecycle;
}

/** A lot that this host owns, and its runner. */
export interface OwnedLot {
  readonly lot: Lot;
  readonly runner: LotRunner;
}

/** The lots that this host owns or is claiming. */
export class LotRegistry {
  readonly log: LotLog;
  readonly routes: LotRoutes;
  /** Counts of open lots over all hosts. */
  readonly openLots: OpenLots;
  readonly #context: NodeContext;
  readonly #options: LotRegistryOptions;
  readonly #owned = new Map<string, OwnedLot>();

  constructor(context: NodeContext, options: LotRegistryOptions) {
    this.#context = context;
    this.#options = options;
    this.log = new LotLog(context.log);
    this.routes = new LotRoutes(this.log, options.peers);
    this.openLots = new OpenLots(
      options.peers,
      () => this.#listOpenCustomers(),
    );
  }

  /** Lists the lots that this host owns or is claiming. */
  listOwned(): readonly OwnedLot[] {
    return [...this.#owned.values()];
  }

  /**
   * Returns a lot that this host owns or is claiming.
   *
   * @param name - The lot.
   */
  getOwned(name: LotName): OwnedLot | undefined {
    return this.#owned.get(getLotKey(name));
  }

  /**
   * Accepts a lot that a trainer submits. Submitting the same lot again is
   * idempotent; a lot whose owner has failed is taken over.
   *
   * @param structure - The lot.
   */
  async addLot(structure: LotStructure): Promise<void> {
    const training = getTrainingOrThrow(this.#options.contracts, structure);
    const lot = Lot.create(structure, training);
    const { ledger, route } = await this.routes.findRoute(structure);
    const opened = ledger.getOpenRecord();
    if (opened !== undefined) {
      lot.throwIfDigestDiffers(opened.digest);
    }
    if (route.kind === "unknown") {
      this.openLots.throwIfTooMany(structure.customer, training.maxOpenLots);
    }
    if (route.kind === "unknown") {
      const keepers = await this.#options.replicas.sendLot(structure);
      await this.#startOwner(lot, { keepers, takeAfter: undefined });
    } else if (route.kind === "take") {
      await this.takeLot(lot, route.after);
    }
  }

  /**
   * Takes over a lot whose owner has failed or hands it over.
   *
   * @param lot - The lot.
   * @param after - The epoch of the previous owner.
   * @param adopted - Finished samples that the previous owner handed over.
   */
  async takeLot(
    lot: Lot,
    after: number,
    adopted: readonly SampleStructure[] = [],
  ): Promise<void> {
    this.#context.logger.info("lot-taken-over", { lot: lot.structure.id });
    await this.#startOwner(lot, { keepers: [], takeAfter: after, adopted });
  }

  /** Claims a lot; resolves once the log has decided who owns it. */
  async #startOwner(lot: Lot, claim: {
    readonly keepers: readonly string[];
    readonly takeAfter: number | undefined;
    readonly adopted?: readonly SampleStructure[];
  }): Promise<void> {
    const key = getLotKey(lot.structure);
    const existing = this.#owned.get(key);
    if (existing !== undefined) {
      await this.#waitForOwner(existing.runner);
      return;
    }
    this.#throwIfStopping();
    const { contracts } = this.#options;
    const contract = getTrainingContractOrThrow(contracts, lot.structure);
    const training = getTrainingOrThrow(contracts, lot.structure);
    const rule = new StalenessRule(training.staleness);
    const { host, incarnation } = this.#options.peers.getLocalMember();
    const owner = new LotOwner({
      lot,
      rule,
      ...claim,
      self: { host, incarnation },
      retainMs: training.staleness.maxAgeMs,
    });
    const runner = this.#createRunner({ lot, contract, owner, rule });
    this.#owned.set(key, { lot, runner });
    this.openLots.advance();
    await this.#waitForOwner(runner);
  }

  async #waitForOwner(runner: LotRunner): Promise<void> {
    const ended = new AbortController();
    const timeout = this.#context.clock.sleep(CLAIM_TIMEOUT_MS, ended.signal);
    await Promise.race([runner.start(), timeout]);
    ended.abort();
    if (runner.owner.getPhase() === "seeking") {
      throw new DeadlineError(
        "the log did not confirm an owner of the lot before the claim timed out",
        {
          props: { outcome: "unknown" },
        },
      );
    }
  }

  #createRunner(parts: {
    readonly lot: Lot;
    readonly contract: Contract;
    readonly owner: LotOwner;
    readonly rule: StalenessRule;
  }): LotRunner {
    const { weights, producer } = this.#options;
    const key = getLotKey(parts.lot.structure);
    const runner: LotRunner = new LotRunner({
      ...parts,
      context: this.#context,
      log: this.log,
      weights,
      metrics: this.#createMetrics(parts.lot),
      onGenerate: (slots) =>
        producer.addSlots({ ...parts, key, runner }, slots),
      onDelivered: () => producer.removeLot(key, true),
      onEnd: () => {
        this.#owned.delete(key);
        producer.removeLot(key, false);
      },
    });
    return runner;
  }

  #createMetrics(lot: Lot): RolloutMetrics {
    const { clock, histograms } = this.#context;
    return new RolloutMetrics(histograms, {
      customer: lot.structure.customer,
      samples: lot.getSampleCount(),
      nowMs: clock.getMonotonicMs(),
    });
  }

  #throwIfStopping(): void {
    if (!this.#options.lifecycle.isAccepting()) {
      throw new RefusedError("this host is stopping and accepts no lots", {
        props: { retryAfterMs: RETRY_AFTER_MS, reason: "no-endpoint" },
      });
    }
  }

  #listOpenCustomers(): readonly CustomerId[] {
    return this.listOwned()
      .filter(({ runner }) => isOpen(runner.owner.getProgress()))
      .map(({ lot }) => lot.structure.customer);
  }
}

/**
 * A lot that is taken over after its last position was settled does not count as
 * open, as its trainer does not pull it again.
 */
function isOpen({ isShownWhole, settled, samples }: LotProgress): boolean {
  return !isShownWhole && settled < samples;
}
