/**
 * Delays the log reads of one host.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import {
  type LogPage,
  type LogReadOptions,
  LogService,
  type Offset,
  type StreamName,
} from "@briarhill/ports/log/log_service";

/** A log whose read responses arrive late and are therefore stale. */
export class SlowLog extends LogService {
  readonly #log: LogService;
  readonly #clock: Clock;
  readonly #delayMs: number;

  constructor(
    log: LogService,
    options: { readonly clock: Clock; readonly delayMs: number },
  ) {
    super();
    this.#log = log;
    this.#clock = options.clock;
    this.#delayMs = options.delayMs;
  }

  override append(stream: StreamName, value: string): Promise<Offset> {
    return this.#log.append(stream, value);
  }

  override async read(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<LogPage> {
    const { waitMs: _, ...others } = options;
    const page = await this.#log.read(stream, others);
    await this.#clock.sleep(this.#delayMs, options.signal);
    return page;
  }
}
