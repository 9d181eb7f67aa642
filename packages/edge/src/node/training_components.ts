/**
 * Creates the components of a host that serve trainers.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import { EnginePicker } from "../lots/engine_picker.ts";
import { createLotRunner } from "../lots/create_lot_runner.ts";
import { LotAppender } from "../lots/lot_appender.ts";
import { LotClaims } from "../lots/lot_claims.ts";
import { LotHandler } from "../lots/lot_handler.ts";
import { LotCleaner } from "../lots/lot_cleaner.ts";
import { LotOwner, type LotOwnerOptions } from "../lots/lot_owner.ts";
import { LotPartitions } from "../lots/lot_partitions.ts";
import { SampleScorer } from "../lots/sample_scorer.ts";
import { ShardGroup } from "../lots/shard_group.ts";
import { LeaseManager } from "../weights/lease_manager.ts";
import { OrderManager } from "../weights/order_manager.ts";
import { SCALING_DUTY } from "@briarhill/platform/cloud/duty_calls";
import { DemandPublisher } from "../scaling/demand_publisher.ts";
import type { HostContext } from "./host_context.ts";
import type { ServingComponents } from "./serving_components.ts";

/** The maximum random delay of a claim of the lease, in milliseconds; it spreads the claims of the hosts. */
const MAX_CLAIM_DELAY_MS = 400;

/** The components of a host that serve trainers. */
export interface TrainingComponents {
  readonly partitions: LotPartitions;
  readonly lotHandler: LotHandler;
  readonly group: ShardGroup;
  readonly owner: LotOwner;
  readonly cleaner: LotCleaner;
  readonly claims: LotClaims;
  readonly demand: DemandPublisher;
  readonly lease: LeaseManager;
  readonly orders: OrderManager;
}

/**
 * Creates the components that serve trainers.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const log: SharedLog;
 * declare const serving: ServingComponents;
 *
 * const { lotHandler } = createTrainingComponents(context, { log, serving });
 * ```
 * @param context - The dependencies that all components share.
 * @param options - The shared log, and the components that send requests.
 */
export function createTrainingComponents(
  context: HostContext,
  options: { readonly log: SharedLog; readonly serving: ServingComponents },
): TrainingComponents {
  const { settings, clock, logger } = context;
  const { log, serving } = options;
  const shared = { ...context, log };
  const partitions = new LotPartitions(settings.storePartitions, shared);
  const appender = new LotAppender(log, clock, logger);
  const group = new ShardGroup({
    ...shared,
    // The member id survives a restart, so that the host gets its shards back at once.
    member: settings.ip,
    ttlMinMs: settings.groupTtlMinMs,
    cores: settings.cores,
  });
  const { lotRetentionMs } = settings;
  const cleaner = new LotCleaner({ ...shared, group, lotRetentionMs });
  const claims = new LotClaims({ ...shared, peerPort: settings.peers.port });
  const demand = createDemandPublisher(context, log);
  const owner = new LotOwner({
    ...context,
    group,
    partitions,
    cleaner,
    claims,
    canHoldJobs: () => serving.reach.canHoldJobs(),
    createRunner: createRunnerFactory(context, { appender, demand, serving }),
  });
  const maxRecordBytes = settings.recordBytes;
  const lotHandler = new LotHandler({
    clock,
    partitions,
    appender,
    maxRecordBytes,
  });
  const parts = { partitions, lotHandler, group, owner, cleaner, claims };
  return { ...parts, demand, ...createOrderComponents(context, options) };
}

function createDemandPublisher(
  context: HostContext,
  log: SharedLog,
): DemandPublisher {
  const { ip, cloud } = context.settings;
  return new DemandPublisher({
    ...context,
    log,
    host: ip,
    isNeeded: cloud?.duties.includes(SCALING_DUTY) ?? false,
  });
}

function createRunnerFactory(
  context: HostContext,
  components: {
    readonly appender: LotAppender;
    readonly demand: DemandPublisher;
    readonly serving: ServingComponents;
  },
): LotOwnerOptions["createRunner"] {
  const { settings, clock, logger } = context;
  const { appender, demand, serving } = components;
  const { failureDomain } = settings;
  const getTable = () => serving.published.table;
  const createRunner = createLotRunner({
    ...context,
    ...serving,
    scorer: new SampleScorer(serving.forwarder, clock, logger),
    picker: new EnginePicker({ ...context, ...serving, failureDomain }),
    appender,
    getTable,
  });
  return (lot, ...options) => {
    demand.addLot(lot);
    return createRunner(lot, ...options);
  };
}

function createOrderComponents(
  context: HostContext,
  { log, serving }: {
    readonly log: SharedLog;
    readonly serving: ServingComponents;
  },
): Pick<TrainingComponents, "lease" | "orders"> {
  const { settings, random } = context;
  const lease = new LeaseManager({
    ...context,
    log,
    host: settings.ip,
    process: context.processId,
    minHandoverMs: settings.minOrderIntervalMs,
    claimDelayMs: MAX_CLAIM_DELAY_MS * random.getFloat(),
    canHoldJobs: () => serving.reach.canHoldJobs(),
  });
  const orders = new OrderManager({
    ...context,
    ...serving,
    lease,
    holder: settings.host,
    getTable: () => serving.published.table,
    getVersions: () => serving.published.versions,
  });
  return { lease, orders };
}
