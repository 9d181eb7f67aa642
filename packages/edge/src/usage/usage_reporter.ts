/**
 * Closes windows and reports them to the platform while this host holds the lease.
 * A window is reported only as it was read back from the shared log, so that all
 * holders report the same counts.
 * @module
 */
import {
  AppendConflictError,
  BriarhillError,
} from "@briarhill/common/errors/errors";
import type { LogRecord, SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  type ClosedWindow,
  UsageLedger,
} from "@briarhill/control/usage/usage_ledger";
import { encodeUsage, USAGE_DUTY } from "@briarhill/platform/cloud/duty_calls";
import { USAGE_WINDOW_TOPIC } from "@briarhill/platform/names/topics";
import type { DutyCaller, DutyLease } from "../duties/duty_caller.ts";
import { HeldDuty } from "../duties/held_duty.ts";
import { applyRecords } from "../log/apply_records.ts";
import { LogFollower } from "../log/log_follower.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";
import { decodeClosing, decodeCount, encodeClosing } from "./usage_codec.ts";
import { USAGE_PARTITION } from "./usage_publisher.ts";

const WINDOW_PARTITION = { topic: USAGE_WINDOW_TOPIC, partition: 0 } as const;
/** Number of closed windows that the log retains. */
const RETAINED_WINDOWS = 64;
/** Maximum number of windows that wait for their acknowledgement; fewer than are retained, as no record may replace one that is needed. */
const MAX_UNACKNOWLEDGED = 48;
const READ_WAIT_MS = 700;
/** Maximum age of the last complete read for closing a window, in milliseconds. */
const MAX_READ_AGE_MS = 900;
/** Time for which the counts must have been readable before a window is closed, in milliseconds: after an outage of the store, hosts append what they could not before. */
const MIN_READABLE_MS = 1_500;
/** Time after which a closing whose record did not appear is decided anew, in milliseconds. */
const CLOSING_TIMEOUT_MS = 1_500;
const HOLDER_INTERVAL_MS = 100;
const IDLE_INTERVAL_MS = 300;
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 1_600;

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  readonly lease: DutyLease;
  readonly caller: Pick<DutyCaller, "call">;
  readonly windowMs: number;
  /** Time after the end of a window at which it is closed, in milliseconds. */
  readonly closeDelayMs: number;
  /** Time after the end of a window at which its report is due, in milliseconds. */
  readonly reportDueMs: number;
}

/** What the holder of the lease knows since it has gained it. */
interface ReportTerm {
  readonly ledger: UsageLedger;
  readonly counts: LogFollower;
  readonly windows: LogFollower;
}

/** Closes windows and reports them while this host holds the lease. */
export class UsageReporter extends HeldDuty<ReportTerm> {
  readonly #options: UsageReporterOptions;
  #readableSinceMs = -Infinity;
  #closingSentAtMs = -Infinity;
  #nextReportMs = -Infinity;
  #retryDelayMs = MIN_RETRY_DELAY_MS;
  #isReporting = false;

  constructor(options: UsageReporterOptions) {
    super({
      ...options,
      holderIntervalMs: HOLDER_INTERVAL_MS,
      idleIntervalMs: IDLE_INTERVAL_MS,
    });
    this.#options = options;
  }

  protected override async advanceTerm(term: ReportTerm): Promise<void> {
    await this.#closeWindow(term);
    this.#startReport(term);
  }

  protected override openTerm(): ReportTerm {
    const { clock, logger, windowMs, closeDelayMs } = this.#options;
    const ledger = new UsageLedger({
      windowMs,
      closeDelayMs,
      maxUnacknowledged: MAX_UNACKNOWLEDGED,
    });
    const applyClosings = (records: readonly LogRecord[]) =>
      applyRecords(records, {
        apply: ({ value }) => ledger.applyClosing(decodeClosing(value)),
        logger,
      });
    const shared = { ...this.#options, waitMs: READ_WAIT_MS, pauseMs: 0 };
    const term = {
      ledger,
      windows: new LogFollower({
        ...shared,
        place: WINDOW_PARTITION,
        fromNewest: true,
        onSnapshot: applyClosings,
        onRecords: applyClosings,
      }),
      counts: new LogFollower({
        ...shared,
        place: USAGE_PARTITION,
        fromNewest: false,
        onSnapshot: () => undefined,
        onRecords: (records) => this.#applyCounts(ledger, records),
      }),
    };
    this.#readableSinceMs = clock.getMonotonicMs();
    term.windows.start();
    term.counts.start();
    return term;
  }

  protected override closeTerm({ counts, windows }: ReportTerm): void {
    windows.stop();
    counts.stop();
  }

  #applyCounts(ledger: UsageLedger, records: readonly LogRecord[]): void {
    const { logger, metrics } = this.#options;
    applyRecords(records, {
      apply: ({ value }) => {
        const count = decodeCount(value);
        if (!ledger.applyCount(count)) {
          metrics.addUsageEvent("late-count");
        }
      },
      logger,
    });
  }

  async #closeWindow(term: ReportTerm): Promise<void> {
    const { clock, log, logger, lease } = this.#options;
    const nowMs = clock.getMonotonicMs();
    if (!this.#isReadable(term, nowMs)) {
      return;
    }
    const isClosing = nowMs - this.#closingSentAtMs < CLOSING_TIMEOUT_MS;
    const closing = isClosing
      ? undefined
      : term.ledger.decideClosing(clock.getWallMs());
    if (closing === undefined || !lease.isHolder) {
      return;
    }
    this.#closingSentAtMs = nowMs;
    const key = String(closing.window % RETAINED_WINDOWS);
    try {
      await log.append(
        WINDOW_PARTITION,
        [{ key, value: encodeClosing(closing) }],
        term.windows.endOffset,
      );
      await term.windows.readToEnd();
      this.#closingSentAtMs = -Infinity;
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      // Whether the window is closed is read from the log.
      logger.error("usage-close-failed", error, {
        window: closing.window,
        isConflict: error instanceof AppendConflictError,
      });
    }
  }

  /** Returns whether the records were read to their ends just now, and the counts for long enough. */
  #isReadable({ counts, windows }: ReportTerm, nowMs: number): boolean {
    const isCurrent = counts.getAgeMs() < MAX_READ_AGE_MS &&
      windows.getAgeMs() < MAX_READ_AGE_MS;
    if (!isCurrent) {
      this.#readableSinceMs = nowMs;
    }
    return nowMs - this.#readableSinceMs >= MIN_READABLE_MS;
  }

  #startReport({ ledger }: ReportTerm): void {
    const { clock, lease } = this.#options;
    const closed = ledger.getNextReport();
    const isDue = clock.getMonotonicMs() >= this.#nextReportMs;
    if (
      closed !== undefined && isDue && !this.#isReporting && lease.canOrder()
    ) {
      this.#isReporting = true;
      void this.#report(ledger, closed).finally(() => {
        this.#isReporting = false;
      });
    }
  }

  async #report(ledger: UsageLedger, closed: ClosedWindow): Promise<void> {
    const { clock, caller, lease, logger, metrics } = this.#options;
    const { windowMs, reportDueMs } = this.#options;
    const result = await caller.call(USAGE_DUTY, encodeUsage(closed));
    if (result === "accepted") {
      ledger.settleReport(closed.window);
    }
    this.#retryDelayMs = result === "accepted"
      ? MIN_RETRY_DELAY_MS
      : Math.min(MAX_RETRY_DELAY_MS, 2 * this.#retryDelayMs);
    this.#nextReportMs = result === "accepted"
      ? -Infinity
      : clock.getMonotonicMs() + this.#retryDelayMs;
    const dueMs = (closed.window + 1) * windowMs + reportDueMs;
    const lateMs = Math.max(0, clock.getWallMs() - dueMs);
    if (result === "accepted") {
      metrics.addUsageEvent(lateMs > 0 ? "window-late" : "window-in-time");
    }
    logger.info("usage-reported", {
      window: closed.window,
      result,
      token: lease.token,
      workspaces: closed.counts.size,
      lateMs: Math.round(lateMs),
    });
  }
}
