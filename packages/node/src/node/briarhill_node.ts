/**
 * Assembles and runs one node. All components stop on one signal, which is
 * raised only after the graceful shutdown has ended.
 * @module
 */
import {
  canAcceptCalls,
  canAcceptWork,
} from "@briarhill/control/drain/drain_policy";
import { setMaxListeners } from "node:events";
import { AdminRoutes } from "../admin/admin_routes.ts";
import { Readiness } from "../admin/readiness.ts";
import { CompletionRoutes } from "../calls/completion_routes.ts";
import { LogContractSource } from "../configuration/log_contract_source.ts";
import { SNAPSHOT_LEASE } from "../configuration/snapshot_writer.ts";
import { StatusRoutes } from "../configuration/status_routes.ts";
import { PollingEndpointDirectory } from "../endpoints/polling_endpoint_directory.ts";
import { Generation } from "../generation/generation.ts";
import { HttpListener } from "../http/http_listener.ts";
import { LogLeaseManager } from "../leases/log_lease_manager.ts";
import { createPeerNetwork } from "../peers/create_peer_network.ts";
import type { Traffic } from "../peers/traffic_meter.ts";
import type { TrpcPeerNetwork } from "../peers/trpc_peer_network.ts";
import { ServiceRoutes } from "../services/service_routes.ts";
import { NodeLifecycle } from "../stops/node_lifecycle.ts";
import { Training } from "../trainers/training.ts";
import { TrainerRoutes } from "../trainers/trainer_routes.ts";
import { LogWeightVersions } from "../weights/log_weight_versions.ts";
import type { NodeContext } from "./node_context.ts";

/** The ports that a started node listens on. */
export interface NodePorts {
  readonly callers: number;
  readonly admin: number;
}

/** One node: creates its components, starts them and shuts them down. */
export class BriarhillNode {
  readonly #context: NodeContext;
  readonly #lifecycle: NodeLifecycle;
  readonly #peers: TrpcPeerNetwork;
  readonly #leases: LogLeaseManager;
  readonly #contracts: LogContractSource;
  readonly #directory: PollingEndpointDirectory;
  readonly #generation: Generation;
  readonly #weights: LogWeightVersions;
  readonly #training: Training;
  readonly #services: ServiceRoutes;
  readonly #callers: HttpListener;
  readonly #admin: HttpListener;
  readonly #stopping = new AbortController();
  #loops: Promise<unknown> = Promise.resolve();

  constructor(context: NodeContext) {
    this.#context = context;
    // All components listen to this signal, each with many listeners at a time,
    // which exceeds the default limit of Node.js.
    setMaxListeners(0, this.#stopping.signal);
    this.#lifecycle = new NodeLifecycle(context.clock, context.logger);
    this.#peers = createPeerNetwork(context, this.#lifecycle);
    this.#leases = new LogLeaseManager(context, this.#peers);
    this.#contracts = new LogContractSource(context, {
      leases: this.#leases,
      peers: this.#peers,
    });
    this.#directory = new PollingEndpointDirectory(context, this.#peers);
    const components = {
      contracts: this.#contracts,
      directory: this.#directory,
      peers: this.#peers,
    };
    this.#generation = new Generation(context, components);
    this.#weights = new LogWeightVersions(context, {
      directory: this.#directory,
      leases: this.#leases,
      contracts: this.#contracts,
    });
    this.#training = new Training(context, {
      ...components,
      generator: this.#generation.generator,
      weights: this.#weights,
      lifecycle: this.#lifecycle,
    });
    this.#services = new ServiceRoutes(context, components);
    this.#callers = new HttpListener(context.logger);
    this.#admin = new HttpListener(context.logger);
    this.#setDrainRules();
    this.#registerRoutes();
  }

  /** Starts all components and returns the ports that the node listens on. */
  async start(): Promise<NodePorts> {
    const { signal } = this.#stopping;
    await this.#peers.start();
    this.#loops = Promise.all([
      this.#leases.run(signal),
      this.#contracts.run(signal),
      this.#directory.run(signal),
      this.#generation.run(signal),
      this.#weights.run(signal),
      this.#training.run(signal),
    ]);
    const { settings } = this.#context;
    const admin = await this.#admin.start(settings.admin);
    const callers = await this.#callers.start(settings.callers);
    this.#lifecycle.addDrainStep("finish-calls", async () => {
      await this.#callers.stop();
      await this.#services.waitUntilIdle();
    });
    this.#lifecycle.addDrainStep(
      "hand-over",
      () => this.#leases.release(SNAPSHOT_LEASE),
    );
    this.#lifecycle.addDrainStep("hand-over", () => this.#weights.release());
    this.#lifecycle.setAccepting();
    this.#context.logger.info("node-started", { callers, admin });
    return { callers, admin };
  }

  /** Returns the traffic on the links to other hosts so far. */
  getPeerTraffic(): Traffic {
    return this.#peers.getTraffic();
  }

  /** Shuts the node down gracefully; closes calls that are still open after the timeout. */
  async stop(): Promise<void> {
    this.#peers.announceLeaving();
    await this.#lifecycle.runDrain(this.#context.settings.stopTimeoutMs);
    this.#stopping.abort();
    await this.#loops;
    await this.#peers.stop();
    const calls = this.#callers.countOpenExchanges() +
      this.#services.countDisconnected();
    if (calls > 0) {
      this.#context.logger.warn("calls-cut", { calls });
    }
    this.#callers.closeAll();
    this.#admin.closeAll();
    await this.#admin.stop();
    this.#context.logger.info("node-stopped");
  }

  #setDrainRules(): void {
    const { settings } = this.#context;
    this.#directory.isDrained = (listed) =>
      !canAcceptWork(this.#contracts.getState(), listed);
    this.#lifecycle.setDrainRule(() =>
      !canAcceptCalls(this.#contracts.getState(), settings)
    );
  }

  #registerRoutes(): void {
    const contracts = this.#contracts;
    const { generator } = this.#generation;
    const weights = this.#weights;
    new CompletionRoutes(this.#context, contracts, generator)
      .register(this.#callers);
    this.#services.register(this.#callers);
    new TrainerRoutes({ contracts, weights, training: this.#training })
      .register(this.#callers);
    const readiness = new Readiness({
      contracts,
      directory: this.#directory,
      lifecycle: this.#lifecycle,
    });
    new AdminRoutes(this.#context, readiness).register(this.#admin);
    new StatusRoutes(this.#context, {
      contracts,
      readiness,
      peers: this.#peers,
    }).register(this.#admin);
  }
}
