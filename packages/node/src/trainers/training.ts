/**
 * Assembles the components that serve trainers on a host, and runs their periodic
 * work.
 * @module
 */
import type { Scorer } from "@briarhill/ports/scorer/scorer";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { Generator } from "../generation/generator.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { Lifecycle } from "../stops/lifecycle.ts";
import type { WeightVersions } from "../weights/weight_versions.ts";
import { LotReplicator } from "./lot_replicator.ts";
import { LotHandler } from "./lot_handler.ts";
import { LotHandOver } from "./lot_hand_over.ts";
import { LotReplicas } from "./lot_replicas.ts";
import { LotRegistry } from "./lot_registry.ts";
import { LotTakeover } from "./lot_takeover.ts";
import { SampleDispatcher } from "./sample_dispatcher.ts";
import { SampleProducer } from "./sample_producer.ts";
import { SampleScoring } from "./sample_scoring.ts";
import { SampleWorker } from "./sample_worker.ts";
import { TrainingCapacity } from "./training_capacity.ts";

const TICK_INTERVAL_MS = 1000;

/** Options of `Training`. */
export interface TrainingOptions {
  readonly contracts: ContractSource;
  readonly directory: EndpointDirectory;
  readonly generator: Generator;
  readonly weights: WeightVersions;
  readonly peers: PeerNetwork;
  readonly lifecycle: Lifecycle;
  /** Creates the client of a scorer; an HTTP client by default. */
  readonly createScorer?: ((address: string) => Scorer) | undefined;
}

/** The components that serve trainers on a host. */
export class Training {
  readonly registry: LotRegistry;
  readonly lotHandler: LotHandler;
  readonly producer: SampleProducer;
  readonly #context: NodeContext;
  readonly #options: TrainingOptions;
  readonly #dispatcher: SampleDispatcher;
  readonly #worker: SampleWorker;
  readonly #replicator: LotReplicator;

  constructor(context: NodeContext, options: TrainingOptions) {
    const { directory, weights, peers } = options;
    this.#context = context;
    this.#options = options;
    this.#worker = new SampleWorker(context, {
      ...options,
      scoring: new SampleScoring(context, options.createScorer),
    });
    this.#dispatcher = new SampleDispatcher(context, peers);
    this.producer = new SampleProducer(context, {
      dispatcher: this.#dispatcher,
      capacity: new TrainingCapacity(directory, weights),
    });
    const { producer } = this;
    const replicas = new LotReplicas(context, peers);
    const sharedOptions = { ...options, replicas, producer };
    this.registry = new LotRegistry(context, sharedOptions);
    const lotOptions = { ...sharedOptions, registry: this.registry };
    this.lotHandler = new LotHandler(lotOptions);
    this.#replicator = new LotReplicator(lotOptions);
    new LotTakeover(context, lotOptions);
    this.#subscribe(new LotHandOver(context, lotOptions));
  }

  /**
   * Runs the periodic work until the signal aborts, then stops all components.
   *
   * @param signal - Stops the components.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#context.clock.sleep(TICK_INTERVAL_MS, signal);
      this.registry.listOwned().forEach(({ runner }) => runner.handleTick());
      this.registry.openLots.advance();
      void this.#replicator.advance();
      this.#worker.advance();
      this.#dispatcher.advance();
      this.producer.advance();
    }
    this.producer.stop();
    this.#worker.stop();
    this.registry.listOwned().forEach(({ runner }) => runner.stop());
  }

  #subscribe(handOver: LotHandOver): void {
    const { weights, lifecycle } = this.#options;
    weights.subscribe(({ model }) => {
      this.registry.listOwned()
        .filter(({ lot }) => lot.structure.model === model)
        .forEach(({ runner }) => runner.handleTick());
      this.#worker.advance();
      this.producer.handleAnnounced(model);
    });
    lifecycle.addDrainStep("hand-over", () => handOver.sendLots());
    lifecycle.addDrainStep("hand-over", () => this.#worker.drain());
  }
}
