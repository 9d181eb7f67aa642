/**
 * One entry host: all parts, put together and run.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { StoreLog } from "@briarhill/platform/store/store_log";
import { hashText } from "@briarhill/common/hashing/rendezvous";
import { randomBytes } from "node:crypto";
import { CallForwarder } from "../calls/call_forwarder.ts";
import { EndpointSender } from "../calls/endpoint_sender.ts";
import { Ingress } from "../calls/ingress.ts";
import { LiveCalls } from "../calls/live_calls.ts";
import { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import { CallerListener } from "../http/caller_listener.ts";
import { LotAppender } from "../lots/lot_appender.ts";
import { LotDesk } from "../lots/lot_desk.ts";
import { LotOwner } from "../lots/lot_owner.ts";
import { LotPartitions } from "../lots/lot_partitions.ts";
import { LotRoutes } from "../lots/lot_routes.ts";
import { createLotRunner } from "../lots/create_lot_runner.ts";
import { SampleScorer } from "../lots/sample_scorer.ts";
import { PeerList } from "../peers/peer_list.ts";
import { RelayedTransport } from "../peers/relayed_transport.ts";
import { RelayListener } from "../peers/relay_listener.ts";
import type { HostSettings } from "../settings/host_settings.ts";
import { LeaseKeeper } from "../weights/lease_keeper.ts";
import { OrderKeeper } from "../weights/order_keeper.ts";
import { PublishedState } from "./published_state.ts";

/** How long a stopping host still accepts connections, in milliseconds: the balancer asks each second and needs two misses. */
const BALANCER_MS = 2_600;
/** How often a stopping host looks whether its requests have ended, in milliseconds. */
const DRAIN_CHECK_MS = 50;
/** Time kept for the end of the process, in milliseconds. */
const EXIT_MS = 800;
/** Spreads the hosts' claims of the lease, in milliseconds. */
const CLAIM_SPREAD_MS = 400;
const INCARNATION_BYTES = 4;

/** One entry host. */
export class EntryHost {
  readonly #settings: HostSettings;
  readonly #logger: Logger;
  readonly #clock = new SystemClock();
  readonly #published: PublishedState;
  readonly #peers: PeerList;
  readonly #transport: RelayedTransport;
  readonly #relay: RelayListener;
  readonly #ingress: Ingress;
  readonly #callers: CallerListener;
  readonly #owner: LotOwner;
  readonly #partitions: LotPartitions;
  readonly #lease: LeaseKeeper;
  readonly #orders: OrderKeeper;
  #isStopping = false;

  constructor(settings: HostSettings, logger: Logger) {
    this.#settings = settings;
    this.#logger = logger;
    const clock = this.#clock;
    const incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
    const self = `${settings.ip}/${incarnation}`;
    const random = new SeededRandom(hashText(self));
    const { failureDomain } = settings;
    this.#transport = new RelayedTransport({
      store: settings.store,
      clock,
      logger,
      listPeers: () => this.#peers.listPeers(),
    });
    const log = new StoreLog(this.#transport);
    this.#peers = new PeerList({ settings, log, clock, logger, random });
    this.#relay = new RelayListener(this.#transport, logger);
    const directory: EndpointDirectory = new EndpointDirectory({
      clock,
      logger,
      random,
      getDisturbedAtMs: () => this.#published.disturbedAtMs,
    });
    this.#published = new PublishedState({
      log,
      clock,
      logger,
      directory,
      onConfiguration: (table) =>
        this.#callers.applyLimits(table.configuration.limits),
    });
    const getTable = () => this.#published.table;
    const sender = new EndpointSender(clock, directory.board);
    const forwarder = new CallForwarder({
      clock,
      random,
      directory,
      sender,
      failureDomain,
    });
    this.#partitions = new LotPartitions(settings.storePartitions, {
      log,
      clock,
      logger,
    });
    const appender = new LotAppender(log, clock, logger);
    const desk = new LotDesk({
      clock,
      partitions: this.#partitions,
      appender,
      maxRecordBytes: settings.recordBytes,
    });
    this.#ingress = new Ingress({
      clock,
      logger,
      getTable,
      isReady: () => this.#isReady(),
      liveCalls: new LiveCalls({
        clock,
        logger,
        forwarder,
        sender,
        onAnswered: () => undefined,
      }),
      lotRoutes: new LotRoutes({ clock, logger, desk }),
    });
    this.#callers = new CallerListener(this.#ingress, logger);
    const scorer = new SampleScorer(forwarder, clock, logger);
    this.#owner = new LotOwner({
      log,
      clock,
      logger,
      partitions: this.#partitions,
      member: self,
      ttlMinMs: settings.groupTtlMinMs,
      createRunner: createLotRunner({
        clock,
        logger,
        directory,
        sender,
        scorer,
        appender,
        getTable,
        failureDomain,
      }),
    });
    this.#lease = new LeaseKeeper({
      log,
      clock,
      logger,
      self,
      turnMs: settings.orderTurnMs,
      claimDelayMs: CLAIM_SPREAD_MS * random.getUnit(),
    });
    this.#orders = new OrderKeeper({
      clock,
      logger,
      lease: this.#lease,
      directory,
      sender,
      holder: settings.host,
      getTable,
      getVersions: () => this.#published.versions,
    });
  }

  /** Opens all listeners and begins to work. */
  async start(): Promise<void> {
    const { callers, health, peers } = this.#settings;
    await this.#callers.start([callers, health]);
    await this.#relay.start(peers);
    this.#published.start();
    this.#peers.start();
    this.#owner.start();
    this.#lease.start();
    this.#orders.start();
    this.#logger.info("host-started", {
      callers: callers.port,
      failureDomain: this.#settings.failureDomain,
    });
  }

  /** Hands all duties over, ends what is in progress, and stops within the grace period. */
  async stop(): Promise<void> {
    if (this.#isStopping) {
      return;
    }
    this.#isStopping = true;
    const startMs = this.#clock.getMonotonicMs();
    const endMs = startMs + this.#settings.graceMs - EXIT_MS;
    this.#logger.info("host-stopping", { open: this.#ingress.open });
    this.#orders.stop();
    await Promise.all([this.#owner.stop(), this.#lease.stop()]);
    await this.#clock.sleep(
      Math.max(0, startMs + BALANCER_MS - this.#clock.getMonotonicMs()),
    );
    this.#callers.closeIdle();
    while (
      this.#ingress.open > 0 && this.#clock.getMonotonicMs() < endMs
    ) {
      await this.#clock.sleep(DRAIN_CHECK_MS);
    }
    this.#logger.info("host-stopped", {
      cut: this.#ingress.open,
      tookMs: Math.round(this.#clock.getMonotonicMs() - startMs),
    });
    this.#relay.close();
    this.#partitions.stop();
    this.#published.stop();
    await this.#clock.sleep(DRAIN_CHECK_MS);
  }

  #isReady(): boolean {
    return !this.#isStopping && this.#published.table !== undefined;
  }
}
