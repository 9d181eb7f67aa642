/**
 * Orders servers from the platform's API while this host holds the lease, so that
 * the samples that wait find free slots.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { HeldMaximum } from "@briarhill/control/scaling/held_maximum";
import { SlidingMean } from "@briarhill/control/scaling/sliding_mean";
import type { ServerKind } from "@briarhill/control/scaling/server_order_book";
import {
  decideServerCounts,
  type PlannedCount,
} from "@briarhill/control/scaling/server_plan";
import {
  encodeServerOrder,
  SCALING_DUTY,
} from "@briarhill/platform/cloud/duty_calls";
import type { ServiceStructure } from "@briarhill/routing/table/route";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import type {
  DutyCaller,
  DutyLease,
  DutyResult,
} from "../duties/duty_caller.ts";
import { HeldDuty } from "../duties/held_duty.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import { LogFollower } from "../log/log_follower.ts";
import { SCALING_PARTITION } from "./demand_publisher.ts";
import { DemandView } from "./demand_view.ts";
import { listServerPools, type ScaledService } from "./server_pools.ts";
import { encodeOrdered } from "./scaling_codec.ts";

const CHECK_INTERVAL_MS = 200;
const READ_WAIT_MS = 700;
/** Maximum age of what is known of demand and of the servers for an order, in milliseconds. */
const MAX_STATE_AGE_MS = 2_000;
/** Time without need after which servers are given up, in milliseconds; many steps of a trainer. */
const QUIET_MS = 60_000;
/** Time over which the unfinished samples are averaged, in milliseconds: about two steps of a trainer. */
const MEAN_MS = 8_000;

/** Options of {@link ServerScaler}. */
export interface ServerScalerOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly lease: DutyLease;
  readonly caller: Pick<DutyCaller, "call">;
  readonly directory: Pick<EndpointDirectory, "listEndpoints">;
  readonly getTable: () => RouteTable | undefined;
  readonly getListAgeMs: () => number;
}

/** What a service needs. */
interface ServerNeed {
  /** The unfinished samples. */
  readonly samples: SlidingMean;
  /** The servers beyond the lasting ones. */
  readonly extra: HeldMaximum;
}

/** What the holder of the lease knows since it has gained it. */
interface ScalingTerm {
  readonly view: DemandView;
  readonly follower: LogFollower;
  readonly openedAtMs: number;
  readonly needs: Map<string, ServerNeed>;
}

/** Orders servers while this host holds the lease. */
export class ServerScaler extends HeldDuty<ScalingTerm> {
  readonly #options: ServerScalerOptions;

  constructor(options: ServerScalerOptions) {
    super({
      ...options,
      holderIntervalMs: CHECK_INTERVAL_MS,
      idleIntervalMs: CHECK_INTERVAL_MS,
    });
    this.#options = options;
  }

  protected override openTerm(): ScalingTerm {
    const { clock, logger } = this.#options;
    const view = new DemandView(clock, logger);
    const follower = new LogFollower({
      ...this.#options,
      place: SCALING_PARTITION,
      fromNewest: true,
      waitMs: READ_WAIT_MS,
      pauseMs: 0,
      onSnapshot: (records) => view.applyRecords(records),
      onRecords: (records) => view.applyRecords(records),
    });
    follower.start();
    const openedAtMs = clock.getMonotonicMs();
    return { view, follower, openedAtMs, needs: new Map() };
  }

  protected override closeTerm({ follower }: ScalingTerm): void {
    follower.stop();
  }

  protected override async advanceTerm(term: ScalingTerm): Promise<void> {
    const { lease, getTable, getListAgeMs } = this.#options;
    const services = getTable()?.configuration.services ?? [];
    const isKnown = getListAgeMs() < MAX_STATE_AGE_MS &&
      term.follower.getAgeMs() < MAX_STATE_AGE_MS;
    if (!isKnown || !lease.canOrder()) {
      return;
    }
    for (const service of services.filter(isScaled)) {
      let result: DutyResult;
      do {
        // A failure domain without servers is paused, so that this ends.
        result = await this.#orderMissing(term, service);
      } while (result === "none-available");
    }
  }

  /** Orders what a service lacks, and returns the first result other than "accepted". */
  async #orderMissing(
    term: ScalingTerm,
    service: ScaledService,
  ): Promise<DutyResult> {
    let result: DutyResult = "accepted";
    for (const planned of this.#decideCounts(term, service)) {
      const order = { ...planned, service: service.name };
      const reply = await this.#order(term, order);
      result = result === "accepted" ? reply : result;
    }
    return result;
  }

  #decideCounts(
    term: ScalingTerm,
    service: ScaledService,
  ): readonly PlannedCount[] {
    const { clock, directory } = this.#options;
    const { scaling, name } = service;
    const nowMs = clock.getMonotonicMs();
    const servers = directory.listEndpoints(name)
      .filter(({ isLeaving }) => !isLeaving);
    const need = getNeed(term, name);
    const samples = need.samples.addReading(
      term.view.countSamples(service.models),
      nowMs,
    );
    if (servers.length === 0 || samples === 0) {
      return [];
    }
    const slots = Math.max(...servers.map((server) => server.slots));
    const pools = listServerPools(servers, {
      service,
      orders: term.view.orders,
      nowMs,
    });
    const lasting = pools.reduce((sum, pool) => sum + pool.lastingCount, 0);
    const extraCount = need.extra.addReading(
      Math.max(0, Math.ceil(samples / slots) - lasting),
      nowMs,
    );
    // A new holder does not know for how long there was no need.
    const keptCount = nowMs - term.openedAtMs < QUIET_MS
      ? pools.reduce((sum, pool) => sum + pool.reclaimableCount, 0)
      : 0;
    return decideServerCounts({
      scaling,
      extraCount: Math.max(extraCount, keptCount),
      pools,
      canOrder: (kind) =>
        term.view.orders.canOrder({ ...kind, service: name }, nowMs),
    });
  }

  async #order(
    { view }: ScalingTerm,
    order: ServerKind & { readonly count: number },
  ): Promise<DutyResult> {
    const { clock, caller, lease, logger } = this.#options;
    const result = await caller.call(SCALING_DUTY, encodeServerOrder(order));
    const nowMs = clock.getMonotonicMs();
    if (result === "accepted") {
      view.orders.setOrdered(order, order.count, nowMs);
      await this.#append(order);
    } else {
      view.orders.setPaused(order, nowMs);
    }
    logger.info("servers-ordered", { ...order, result, token: lease.token });
    return result;
  }

  /** Tells later holders what was ordered. */
  async #append(
    order: ServerKind & { readonly count: number },
  ): Promise<void> {
    const { log, logger } = this.#options;
    const { service, failureDomain, isReclaimable } = order;
    const key = `order/${service}/${failureDomain}/${isReclaimable}`;
    try {
      await log.append(SCALING_PARTITION, [{
        key,
        value: encodeOrdered(order),
      }]);
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      logger.error("server-order-append-failed", error, { ...order });
    }
  }
}

function getNeed({ needs }: ScalingTerm, service: string): ServerNeed {
  const need = needs.get(service) ?? {
    samples: new SlidingMean(MEAN_MS),
    extra: new HeldMaximum(QUIET_MS),
  };
  needs.set(service, need);
  return need;
}

function isScaled(service: ServiceStructure): service is ScaledService {
  return service.scaling !== undefined;
}
