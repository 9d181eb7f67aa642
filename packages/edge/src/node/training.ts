/**
 * The parts of a host that serve trainers.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import { EnginePicker } from "../lots/engine_picker.ts";
import { createLotRunner } from "../lots/create_lot_runner.ts";
import { LotAppender } from "../lots/lot_appender.ts";
import { LotClaims } from "../lots/lot_claims.ts";
import { LotDesk } from "../lots/lot_desk.ts";
import { LotArchive } from "../lots/lot_archive.ts";
import { LotOwner, type LotOwnerOptions } from "../lots/lot_owner.ts";
import { LotPartitions } from "../lots/lot_partitions.ts";
import { SampleScorer } from "../lots/sample_scorer.ts";
import { ShardGroup } from "../lots/shard_group.ts";
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
  readonly archive: LotArchive;
  readonly claims: LotClaims;
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
  const { settings, clock, logger } = context;
  const { log, serving } = options;
  const shared = { ...context, log };
  const partitions = new LotPartitions(settings.storePartitions, shared);
  const appender = new LotAppender(log, clock, logger);
  const group = new ShardGroup({
    ...shared,
    // A host that starts again finds its shards at once.
    member: settings.ip,
    ttlMinMs: settings.groupTtlMinMs,
    cores: settings.cores,
  });
  const { lotLifeMs } = settings;
  const archive = new LotArchive({ ...shared, group, lotLifeMs });
  const claims = new LotClaims({ ...shared, peerPort: settings.peers.port });
  const owner = new LotOwner({
    ...context,
    group,
    partitions,
    archive,
    claims,
    createRunner: createRunners(context, { appender, serving }),
  });
  const maxRecordBytes = settings.recordBytes;
  const desk = new LotDesk({ clock, partitions, appender, maxRecordBytes });
  const orders = createOrders(context, options);
  return { partitions, desk, owner, archive, claims, ...orders };
}

function createRunners(
  context: HostContext,
  parts: { readonly appender: LotAppender; readonly serving: Serving },
): LotOwnerOptions["createRunner"] {
  const { settings, clock, logger } = context;
  const { appender, serving } = parts;
  const { failureDomain } = settings;
  const getTable = () => serving.published.table;
  return createLotRunner({
    ...context,
    ...serving,
    scorer: new SampleScorer(serving.forwarder, clock, logger),
    picker: new EnginePicker({ ...context, ...serving, failureDomain }),
    appender,
    getTable,
  });
}

function createOrders(
  context: HostContext,
  { log, serving }: { readonly log: SharedLog; readonly serving: Serving },
): Pick<Training, "lease" | "orders"> {
  const { settings, random } = context;
  const lease = new LeaseKeeper({
    ...context,
    log,
    host: settings.ip,
    process: context.self,
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
