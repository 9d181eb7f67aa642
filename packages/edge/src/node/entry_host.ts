/**
 * Assembles the components of an entry host, and starts and stops them. On stop,
 * the host first releases its shards and its lease, and accepts connections until
 * the load balancer has removed it.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { StopWindow } from "@briarhill/routing/admission/stop_window";
import type { Clock } from "@briarhill/common/time/clock";
import { Ingress } from "../calls/ingress.ts";
import { LiveCalls } from "../calls/live_calls.ts";
import { CallerListener } from "../http/caller_listener.ts";
import type { ConnectionGuard } from "../http/connection_guard.ts";
import type { ShardOwnership } from "../limits/permit_owner.ts";
import { LotCallForwarder } from "../lots/lot_call_forwarder.ts";
import { LotRoutes } from "../lots/lot_routes.ts";
import { MetricsListener } from "../observe/metrics_listener.ts";
import type { HostSettings } from "../settings/host_settings.ts";
import {
  createDutyComponents,
  type DutyComponents,
} from "../duties/create_duty_components.ts";
import { CallerAdmission } from "../workspaces/caller_admission.ts";
import { CallerCheck } from "../workspaces/caller_check.ts";
import { createHostContext } from "./create_host_context.ts";
import type { HostContext } from "./host_context.ts";
import { createStopWindow, HostDrain } from "./host_drain.ts";
import {
  createServingComponents,
  type ServingComponents,
} from "./serving_components.ts";
import { createStoreAccess, type StoreAccess } from "./store_access.ts";
import {
  createTrainingComponents,
  type TrainingComponents,
} from "./training_components.ts";

/** The time that components have to end on their own, in milliseconds. */
const CLOSE_MS = 50;
/** The size of a lot against that of its records, which are appended in one call; records omit what the lot holds for others. */
const LOT_BYTES_FACTOR = 2;

/** An entry host with all of its components. */
export class EntryHost {
  readonly #settings: HostSettings;
  readonly #logger: Logger;
  readonly #clock: Clock;
  readonly #store: StoreAccess;
  readonly #serving: ServingComponents;
  readonly #training: TrainingComponents;
  readonly #duties: DutyComponents;
  readonly #lotCallForwarder: LotCallForwarder;
  readonly #ingress: Ingress;
  readonly #callers: CallerListener;
  readonly #metrics: MetricsListener;
  readonly #guard: ConnectionGuard;
  readonly #stopWindow: StopWindow;
  #stopped: Promise<void> | undefined;

  constructor(settings: HostSettings, logger: Logger) {
    const context = createHostContext(settings, logger);
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
    this.#duties = createDutyComponents(context, {
      log,
      ...this.#training,
      ...this.#serving,
    });
    this.#lotCallForwarder = new LotCallForwarder({
      ...context,
      peers: this.#store.peers,
      partitions: this.#training.partitions,
    });
    this.#stopWindow = createStopWindow(settings.graceMs);
    this.#ingress = this.#createIngress(context);
    this.#guard = context.guard;
    this.#callers = new CallerListener(this.#ingress, context);
    this.#metrics = new MetricsListener(context.metrics, context);
  }

  #createCallerAdmission(context: HostContext): CallerAdmission {
    const { published } = this.#serving;
    const check = new CallerCheck({
      ...context,
      policy: this.#settings,
      configuration: published,
    });
    return new CallerAdmission(check, () => published.table);
  }

  #createIngress(context: HostContext): Ingress {
    return new Ingress({
      ...context,
      maxLotBytes: LOT_BYTES_FACTOR * context.settings.requestBytes,
      getTable: () => this.#serving.published.table,
      isReady: () => this.#isReady(),
      stopWindow: this.#stopWindow,
      callerAdmission: this.#createCallerAdmission(context),
      liveCalls: new LiveCalls({ ...context, ...this.#serving }),
      lotRoutes: new LotRoutes({
        ...context,
        lotHandler: this.#training.lotHandler,
      }),
      lotCallForwarder: this.#lotCallForwarder,
    });
  }

  /** Opens all listeners and starts all components. */
  async start(): Promise<void> {
    const { callers, health, peers, metrics } = this.#settings;
    const { claims } = this.#training;
    const { permitOwner, reachQuery } = this.#serving;
    await this.#callers.start({ callers, health });
    await this.#store.listener.start(peers, {
      onCall: (...exchange) =>
        void this.#ingress.handle(...exchange, { isFromHost: true }),
      onPermit: (...exchange) => void permitOwner.handle(...exchange),
      onReach: (...exchange) => void reachQuery.handle(...exchange),
      onClaim: (...exchange) =>
        claims.handle(...exchange, (lot) => this.isRunning(lot)),
    });
    await this.#metrics.start(metrics);
    this.#guard.start();
    this.#startComponents();
    this.#logger.info("host-started", {
      callers: callers.port,
      failureDomain: this.#settings.failureDomain,
    });
  }

  #startComponents(): void {
    const { followers, sharedReach, reach } = this.#serving;
    const { owner, cleaner, lease, orders, demand } = this.#training;
    followers.forEach((follower) => follower.start());
    sharedReach.publishReach(reach.createRecord());
    this.#store.peers.start();
    [owner, cleaner, lease, orders, ...this.#duties.duties]
      .forEach((component) => component.start());
    this.#duties.publisher?.start();
    demand.start((lot) => owner.isRunning(lot));
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
    const { orders, cleaner, demand } = this.#training;
    this.#serving.sharedReach.removeOwn();
    [orders, cleaner, demand].forEach((component) => component.stop());
    // The store may be away; connections are drained meanwhile.
    const released = this.#releaseJobs().catch((error: unknown) =>
      this.#logger.error("jobs-release-failed", error)
    );
    await new HostDrain({
      clock: this.#clock,
      settings: this.#settings,
      stopWindow: this.#stopWindow,
      ingress: this.#ingress,
      callers: this.#callers,
      peers: this.#store.listener,
    }).drainAll();
    const published = this.#duties.publisher?.stop();
    await Promise.race([
      Promise.all([released, published]),
      this.#clock.sleep(CLOSE_MS),
    ]);
    this.#logger.info("host-stopped", {
      cut: this.#ingress.openRequests,
      openConnections: this.#callers.openConnections,
      tookMs: Math.round(this.#clock.getMonotonicMs() - startMs),
    });
    this.#closeComponents();
    await this.#clock.sleep(CLOSE_MS);
  }

  async #releaseJobs(): Promise<void> {
    const { owner, lease } = this.#training;
    // No duty may go on once the lease is released.
    this.#duties.duties.forEach((duty) => duty.stop());
    await Promise.all([owner.stop(), lease.stop()]);
    this.#serving.permitOwner.close();
  }

  #closeComponents(): void {
    this.#store.listener.closeAll();
    this.#lotCallForwarder.close();
    this.#store.peers.stop();
    this.#metrics.close();
    this.#guard.stop();
    this.#training.claims.close();
    this.#training.partitions.stop();
    const { relay, permits, sender, reachQuery } = this.#serving;
    [...this.#serving.followers, this.#serving.reach].forEach((component) =>
      component.stop()
    );
    [relay, permits, sender, reachQuery].forEach((component) =>
      component.close()
    );
    this.#duties.caller?.close();
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
