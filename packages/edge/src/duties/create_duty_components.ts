/**
 * Creates the components that call the platform's API. They share one lease with
 * the orders to engines.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import { SteadyClock } from "@briarhill/common/time/steady_clock";
import { SCALING_DUTY, USAGE_DUTY } from "@briarhill/platform/cloud/duty_calls";
import type { HostContext } from "../node/host_context.ts";
import type { ServingComponents } from "../node/serving_components.ts";
import { ServerScaler } from "../scaling/server_scaler.ts";
import type { CloudSettings } from "../settings/host_settings.ts";
import { UsagePublisher } from "../usage/usage_publisher.ts";
import { UsageReporter } from "../usage/usage_reporter.ts";
import { DutyCaller, type DutyLease } from "./duty_caller.ts";

/** Time from the last renewal of a lost holder until its successor may call, without the platform's minimum between two holders, in milliseconds. */
const TAKEOVER_MS = 2_200;
/** Time that a report may take, with one repetition, in milliseconds. */
const REPORT_MS = 800;
/** Time after the end of a window at which hosts append their counts, in milliseconds: most requests that began in it have ended. */
const TELL_DELAY_MS = 900;
/** Time that the counts of all hosts take to arrive after that, in milliseconds: two intervals of a host, an append and a read. */
const TELL_SPREAD_MS = 2_000;

/** A component that calls the platform's API while this host holds the lease. */
export interface Duty {
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of {@link createDutyComponents}. */
export interface DutyComponentsOptions
  extends Pick<ServingComponents, "directory" | "published"> {
  readonly log: SharedLog;
  readonly lease: DutyLease;
}

/** The components that call the platform's API. */
export interface DutyComponents {
  readonly duties: readonly Duty[];
  /** Undefined where no usage is reported. */
  readonly publisher: UsagePublisher | undefined;
  /** Undefined where the platform has no API. */
  readonly caller: DutyCaller | undefined;
}

/**
 * Returns the time after the end of a window at which it is closed, in
 * milliseconds: as late as a successor of a lost holder can still report in time,
 * and not before the counts have arrived.
 *
 * @example
 * ```ts
 * const delayMs = computeCloseDelay({ reportDueMs: 10_000, minHandoverMs: 3_000 });
 * ```
 * @param bounds - When the report is due, and the minimum time between calls of two holders.
 */
export function computeCloseDelay(
  { reportDueMs, minHandoverMs }: {
    readonly reportDueMs: number;
    readonly minHandoverMs: number;
  },
): number {
  return Math.max(
    TELL_DELAY_MS + TELL_SPREAD_MS,
    reportDueMs - minHandoverMs - TAKEOVER_MS - REPORT_MS,
  );
}

/**
 * Creates the components for the duties that the settings name.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const options: DutyComponentsOptions;
 *
 * const { duties } = createDutyComponents(context, options);
 * ```
 * @param context - The dependencies that all components share.
 * @param options - The shared log, the lease, the endpoints and the configuration.
 */
export function createDutyComponents(
  context: HostContext,
  options: DutyComponentsOptions,
): DutyComponents {
  const { cloud } = context.settings;
  if (cloud === undefined) {
    return { duties: [], publisher: undefined, caller: undefined };
  }
  const holder = context.settings.host;
  const caller = new DutyCaller({ ...context, ...options, cloud, holder });
  const isUsageReported = cloud.duties.includes(USAGE_DUTY);
  const parts = { ...options, caller, cloud };
  return {
    duties: [
      ...(isUsageReported ? [createReporter(context, parts)] : []),
      ...(cloud.duties.includes(SCALING_DUTY)
        ? [createScaler(context, parts)]
        : []),
    ],
    publisher: isUsageReported
      ? new UsagePublisher({
        ...context,
        ...options,
        tellDelayMs: TELL_DELAY_MS,
      })
      : undefined,
    caller,
  };
}

function createScaler(
  context: HostContext,
  options: DutyComponentsOptions & { readonly caller: DutyCaller },
): ServerScaler {
  const { published } = options;
  return new ServerScaler({
    ...context,
    ...options,
    getTable: () => published.table,
    getListAgeMs: () => published.getEndpointListAgeMs(),
  });
}

function createReporter(
  context: HostContext,
  options: {
    readonly log: SharedLog;
    readonly lease: DutyLease;
    readonly caller: DutyCaller;
    readonly cloud: CloudSettings;
  },
): UsageReporter {
  const { windowMs, reportDueMs } = options.cloud;
  const minHandoverMs = context.settings.minOrderIntervalMs;
  return new UsageReporter({
    ...context,
    ...options,
    clock: new SteadyClock(context.clock),
    windowMs,
    reportDueMs,
    closeDelayMs: computeCloseDelay({ reportDueMs, minHandoverMs }),
  });
}
