/**
 * The parts of a host that serve trainers.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import { createLotRunner } from "../lots/create_lot_runner.ts";
import { LotAppender } from "../lots/lot_appender.ts";
import { LotDesk } from "../lots/lot_desk.ts";
import { LotOwner } from "../lots/lot_owner.ts";
import { LotPartitions } from "../lots/lot_partitions.ts";
import { SampleScorer } from "../lots/sample_scorer.ts";
import { LeaseKeeper } from "../weights/lease_keeper.ts";
import { OrderKeeper } from "../weights/order_keeper.ts";
import type { HostContext } from "./host_context.ts";
import type { Serving } from "./serving.ts";

/** Spreads the hosts' claims of the lease, in milliseconds. */
const CLAIM_SPREAD_MS = 400;

/** The parts of a host that serve trainers. */
export interface Training {
  readonly partitions: LotPartitions;
  readonly desk: LotDesk;
  readonly owner: LotOwner;
  readonly lease: LeaseKeeper;
  readonly orders: OrderKeeper;
}

/**
 * Creates the parts that serve trainers.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const log: SharedLog;
 * declare const serving: Serving;
 *
 * const { desk } = createTraining(context, { log, serving });
 * ```
 * @param context - What all parts share.
 * @param options - The shared log, and the parts that send requests.
 */
export function createTraining(
  context: HostContext,
  options: { readonly log: SharedLog; readonly serving: Serving },
): Training {
  const { settings, clock, logger, self } = context;
  const { log, serving } = options;
  const shared = { ...context, log };
  const partitions = new LotPartitions(settings.storePartitions, shared);
  const appender = new LotAppender(log, clock, logger);
  const owner = new LotOwner({
    ...shared,
    partitions,
    member: self,
    ttlMinMs: settings.groupTtlMinMs,
    createRunner: createLotRunner({
      ...context,
      ...serving,
      scorer: new SampleScorer(serving.forwarder, clock, logger),
      appender,
      getTable: () => serving.published.table,
      failureDomain: settings.failureDomain,
    }),
  });
  const maxRecordBytes = settings.recordBytes;
  const desk = new LotDesk({ clock, partitions, appender, maxRecordBytes });
  return { partitions, desk, owner, ...createOrders(context, options) };
}

function createOrders(
  context: HostContext,
  { log, serving }: { readonly log: SharedLog; readonly serving: Serving },
): Pick<Training, "lease" | "orders"> {
  const { settings, random } = context;
  const lease = new LeaseKeeper({
    ...context,
    log,
    turnMs: settings.orderTurnMs,
    claimDelayMs: CLAIM_SPREAD_MS * random.getUnit(),
  });
  const orders = new OrderKeeper({
    ...context,
    ...serving,
    lease,
    holder: settings.host,
    getTable: () => serving.published.table,
    getVersions: () => serving.published.versions,
  });
  return { lease, orders };
}
