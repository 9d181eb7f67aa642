/**
 * A stand-in for the platform's log, in memory.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import {
  type LogPage,
  type LogReadOptions,
  type LogRecord,
  LogService,
  type Offset,
  type StreamName,
} from "@briarhill/ports/log/log_service";
import { LOG_PAGE } from "@briarhill/ports/log/http_log_service";
import type { Fault } from "../faults/fault.ts";
import { FaultPlan } from "../faults/fault_plan.ts";
import { createRejection } from "../faults/rejection.ts";
import { RateLimit } from "../time/rate_limit.ts";
import { FakeLogStream } from "./fake_log_stream.ts";
import { addPageFault } from "./page_fault.ts";

/** How a {@link FakeLog} behaves. */
export interface FakeLogSettings {
  /** How long records are kept. */
  readonly retentionMs: number;
  /** How many records of a stream are kept. */
  readonly retentionRecords: number;
  readonly appendsPerSecond: number;
  readonly maxPageRecords: number;
}

/** How a {@link FakeLog} behaves where nothing else is asked for. */
export const DEFAULT_LOG_SETTINGS: FakeLogSettings = {
  retentionMs: 3_600_000,
  retentionRecords: 100_000,
  appendsPerSecond: 300,
  maxPageRecords: 1000,
};

/** A stand-in for the platform's log. */
export class FakeLog extends LogService {
  readonly faults: FaultPlan;
  readonly #clock: Clock;
  readonly #settings: FakeLogSettings;
  readonly #limit: RateLimit;
  readonly #streams = new Map<StreamName, FakeLogStream>();
  #outage: "refused" | "silent" | undefined;

  constructor(clock: Clock, settings: Partial<FakeLogSettings> = {}) {
    super();
    this.#clock = clock;
    this.#settings = { ...DEFAULT_LOG_SETTINGS, ...settings };
    this.faults = new FaultPlan("log", clock);
    this.#limit = new RateLimit(clock, this.#settings.appendsPerSecond);
  }

  /**
   * Starts or ends an outage of the whole log.
   *
   * @param outage - How calls fail; undefined ends the outage.
   */
  setOutage(outage: "refused" | "silent" | undefined): void {
    this.#outage = outage;
  }

  /**
   * Returns all records that the log holds, without faults.
   *
   * @param stream - The stream.
   */
  getRecords(stream: StreamName): readonly LogRecord[] {
    return this.#getStream(stream).getPage(0, Number.MAX_SAFE_INTEGER).records;
  }

  /** Returns how many records were appended to all streams. */
  countAppends(): number {
    return [...this.#streams.values()].reduce(
      (sum, stream) => sum + stream.getEnd(),
      0,
    );
  }

  override append(stream: StreamName, value: string): Promise<Offset> {
    return this.faults.run("append", () => {
      this.#throwIfOutage("append");
      const waitMs = this.#limit.acquire();
      if (waitMs > 0) {
        throw createRejection("too many appends in this second", {
          port: "log",
          operation: "append",
          retryAfterMs: waitMs,
        });
      }
      return this.#getStream(stream).append(value);
    });
  }

  override read(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<LogPage> {
    return this.faults.run("read", (disorder) => {
      const finish = (page: LogPage) =>
        this.#getCheckedPage(addPageFault(page, disorder));
      return this.#readPage(stream, options, finish);
    });
  }

  /**
   * Reads records as the log itself sends them, faults and all.
   *
   * @param stream - The stream.
   * @param options - What to read.
   */
  readUnchecked(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<LogPage> {
    return this.faults.run("read", (disorder) => {
      const finish = (page: LogPage) => addPageFault(page, disorder);
      return this.#readPage(stream, options, finish);
    });
  }

  async #readPage(
    stream: StreamName,
    options: LogReadOptions,
    finish: (page: LogPage) => LogPage,
  ): Promise<LogPage> {
    this.#throwIfOutage("read");
    const source = this.#getStream(stream);
    const isBehind = options.from < source.getEnd();
    if (!isBehind && (options.waitMs ?? 0) > 0) {
      await this.#waitForAppend(source, options);
      this.#throwIfOutage("read");
    }
    const { maxPageRecords } = this.#settings;
    const limit = Math.min(options.limit ?? maxPageRecords, maxPageRecords);
    return finish(source.getPage(options.from, limit));
  }

  #getCheckedPage(page: LogPage): LogPage {
    if (LOG_PAGE.safeParse(page).success) {
      return page;
    }
    const fault: Fault = { operation: "read", kind: "malformed" };
    throw this.faults.createError(fault, false);
  }

  async #waitForAppend(
    stream: FakeLogStream,
    options: LogReadOptions,
  ): Promise<void> {
    const ended = new AbortController();
    const end = () => ended.abort();
    options.signal?.addEventListener("abort", end, { once: true });
    const cancelWait = stream.subscribe(end);
    await this.#clock.sleep(options.waitMs ?? 0, ended.signal);
    cancelWait();
    options.signal?.removeEventListener("abort", end);
    if (options.signal?.aborted) {
      throw new PortError("the read was given up", {
        props: {
          port: "log",
          operation: "read",
          fault: "cancelled",
          outcome: "unknown",
        },
      });
    }
  }

  #throwIfOutage(operation: string): void {
    if (this.#outage !== undefined) {
      throw this.faults.createError({ operation, kind: this.#outage }, false);
    }
  }

  #getStream(name: StreamName): FakeLogStream {
    const found = this.#streams.get(name);
    if (found !== undefined) {
      return found;
    }
    const stream = new FakeLogStream(this.#clock, this.#settings);
    this.#streams.set(name, stream);
    return stream;
  }
}
