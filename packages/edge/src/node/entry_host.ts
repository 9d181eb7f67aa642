/**
 * Assembles the components of an entry host, and starts and stops them. On stop,
 * the host first releases its shards and its lease, and accepts connections until
 * the load balancer has removed it.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";
import type { Logger } from "@briarhill/common/logging/logger";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { randomBytes } from "node:crypto";
import { Ingress } from "../calls/ingress.ts";
import { LiveCalls } from "../calls/live_calls.ts";
import { CallerListener } from "../http/caller_listener.ts";
import type { ShardOwnership } from "../limits/permit_owner.ts";
import { LotCallForwarder } from "../lots/lot_call_forwarder.ts";
import { LotRoutes } from "../lots/lot_routes.ts";
import { HostMetrics } from "../observe/host_metrics.ts";
import { MetricsListener } from "../observe/metrics_listener.ts";
import type { PeerListener } from "../peers/peer_listener.ts";
import type { HostSettings } from "../settings/host_settings.ts";
import type { HostContext } from "./host_context.ts";
import {
  createServingComponents,
  type ServingComponents,
} from "./serving_components.ts";
import { createStoreAccess, type StoreAccess } from "./store_access.ts";
import {
  createTrainingComponents,
  type TrainingComponents,
} from "./training_components.ts";

/** The time during which a stopping host still accepts connections, in milliseconds: the load balancer checks each second and removes a host after two failed checks. */
const BALANCER_REMOVAL_MS = 3_200;
/** The time after which the load balancer sends no new connections, in milliseconds; from then on, callers are asked to open new ones. */
const CLOSE_ANNOUNCED_MS = 2_200;
/** The interval at which a stopping host checks whether its connections are closed, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 50;
/** The part of the grace period that is reserved for the exit of the process, in milliseconds. */
const EXIT_MARGIN_MS = 800;
const INCARNATION_BYTES = 4;

/** An entry host with all of its components. */
export class EntryHost {
  readonly #settings: HostSettings;
  readonly #logger: Logger;
  readonly #clock: Clock;
  readonly #store: StoreAccess;
  readonly #serving: ServingComponents;
  readonly #training: TrainingComponents;
  readonly #lotCallForwarder: LotCallForwarder;
  readonly #ingress: Ingress;
  readonly #callers: CallerListener;
  readonly #metrics: MetricsListener;
  #stopped: Promise<void> | undefined;

  constructor(settings: HostSettings, logger: Logger) {
    const context = createContext(settings, logger);
    this.#settings = settings;
    this.#logger = logger;
    this.#clock = context.clock;
    this.#store = createStoreAccess(context);
    const { log } = this.#store;
    this.#serving = createServingComponents(context, {
      log,
      peers: this.#store.peers,
      getOwnership: (shard) => this.#getOwnership(shard),
      onConfiguration: ({ configuration }) =>
        this.#callers.applyLimits(configuration.limits),
    });
    this.#training = createTrainingComponents(context, {
      log,
      serving: this.#serving,
    });
    this.#lotCallForwarder = new LotCallForwarder({
      logger,
      peers: this.#store.peers,
      partitions: this.#training.partitions,
    });
    this.#ingress = new Ingress({
      ...context,
      getTable: () => this.#serving.published.table,
      isReady: () => this.#isReady(),
      liveCalls: new LiveCalls({ ...context, ...this.#serving }),
      lotRoutes: new LotRoutes({
        ...context,
        lotHandler: this.#training.lotHandler,
      }),
      lotCallForwarder: this.#lotCallForwarder,
    });
    this.#callers = new CallerListener(this.#ingress, logger);
    this.#metrics = new MetricsListener(context.metrics);
  }

  /** Opens all listeners and starts all components. */
  async start(): Promise<void> {
    const { callers, health, peers, metrics } = this.#settings;
    const { claims } = this.#training;
    const { permitOwner, reachQuery } = this.#serving;
    await this.#callers.start([callers, health]);
    await this.#store.listener.start(peers, {
      onCall: (...exchange) => void this.#ingress.handle(...exchange),
      onPermit: (...exchange) => void permitOwner.handle(...exchange),
      onReach: (...exchange) => void reachQuery.handle(...exchange),
      onClaim: (...exchange) =>
        claims.handle(...exchange, (lot) => this.isRunning(lot)),
    });
    await this.#metrics.start(metrics);
    this.#startComponents();
    this.#logger.info("host-started", {
      callers: callers.port,
      failureDomain: this.#settings.failureDomain,
    });
  }

  #startComponents(): void {
    const { followers, sharedReach, reach } = this.#serving;
    const { owner, cleaner, lease, orders } = this.#training;
    followers.forEach((follower) => follower.start());
    sharedReach.publishReach(reach.createRecord());
    this.#store.peers.start();
    [owner, cleaner, lease, orders].forEach((component) => component.start());
  }

  /**
   * Returns whether this host runs the samples of a lot.
   *
   * @param lot - The id of the lot.
   */
  isRunning(lot: string): boolean {
    return this.#training.owner.isRunning(lot);
  }

  /**
   * Releases the host's shards and lease, drains the connections of callers, and
   * stops within the grace period. Further calls wait for the same stop.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const startMs = this.#clock.getMonotonicMs();
    this.#logger.info("host-stopping", { open: this.#ingress.openRequests });
    const { orders, cleaner } = this.#training;
    this.#serving.sharedReach.removeOwn();
    [orders, cleaner].forEach((component) => component.stop());
    // The store may be away; the connections of callers are drained meanwhile.
    const endMs = startMs + this.#settings.graceMs - EXIT_MARGIN_MS;
    const released = this.#releaseJobs().catch((error: unknown) =>
      this.#logger.error("jobs-release-failed", error)
    );
    await this.#sleepUntil(startMs + CLOSE_ANNOUNCED_MS);
    this.#callers.announceClose();
    await this.#sleepUntil(startMs + BALANCER_REMOVAL_MS);
    await this.#drainConnections(this.#callers, endMs);
    // Calls that other hosts have passed on get their responses too.
    await this.#drainConnections(this.#store.listener, endMs);
    await Promise.race([released, this.#clock.sleep(DRAIN_POLL_INTERVAL_MS)]);
    this.#logger.info("host-stopped", {
      cut: this.#ingress.openRequests,
      openConnections: this.#callers.openConnections,
      tookMs: Math.round(this.#clock.getMonotonicMs() - startMs),
    });
    this.#closeComponents();
    await this.#clock.sleep(DRAIN_POLL_INTERVAL_MS);
  }

  async #releaseJobs(): Promise<void> {
    const { owner, lease } = this.#training;
    await Promise.all([owner.stop(), lease.stop()]);
    this.#serving.permitOwner.close();
  }

  /** Waits until all connections of a listener are closed: an open one may bring a request at any time. */
  async #drainConnections(
    listener: CallerListener | PeerListener,
    endMs: number,
  ): Promise<void> {
    listener.close();
    while (
      listener.openConnections > 0 && this.#clock.getMonotonicMs() < endMs
    ) {
      await this.#clock.sleep(DRAIN_POLL_INTERVAL_MS);
    }
  }

  #sleepUntil(timeMs: number): Promise<void> {
    return this.#clock.sleep(
      Math.max(0, timeMs - this.#clock.getMonotonicMs()),
    );
  }

  #closeComponents(): void {
    this.#store.listener.closeAll();
    this.#lotCallForwarder.close();
    this.#store.peers.stop();
    this.#metrics.close();
    this.#training.claims.close();
    this.#training.partitions.stop();
    const { relay, permits, sender, reachQuery } = this.#serving;
    [...this.#serving.followers, this.#serving.reach].forEach((component) =>
      component.stop()
    );
    [relay, permits, sender, reachQuery].forEach((component) =>
      component.close()
    );
    this.#store.transport.close();
  }

  #getOwnership(shard: number): ShardOwnership {
    const { group } = this.#training;
    if (!group.hasShard(shard)) {
      return "none";
    }
    return group.isCurrent ? "confirmed" : "unconfirmed";
  }

  #isReady(): boolean {
    return this.#stopped === undefined &&
      this.#serving.published.table !== undefined;
  }
}

function createContext(settings: HostSettings, logger: Logger): HostContext {
  const incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
  const self = `${settings.ip}/${incarnation}`;
  return {
    settings,
    logger,
    clock: new SystemClock(),
    random: new SeededRandom(hashText(self)),
    metrics: new HostMetrics(),
    processId: self,
  };
}
