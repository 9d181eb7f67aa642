/**
 * Gives one host a stale first read of a log stream.
 * @module
 */
import {
  type LogPage,
  type LogReadOptions,
  LogService,
  type Offset,
  type StreamName,
} from "@briarhill/ports/log/log_service";

/** Returns a stale page for the first read of one stream and forwards all other calls. */
export class StaleLog extends LogService {
  readonly #log: LogService;
  readonly #stream: StreamName;
  #page: LogPage | undefined;

  constructor(
    log: LogService,
    stale: { readonly stream: StreamName; readonly page: LogPage },
  ) {
    super();
    this.#log = log;
    this.#stream = stale.stream;
    this.#page = stale.page;
  }

  override append(stream: StreamName, value: string): Promise<Offset> {
    return this.#log.append(stream, value);
  }

  override read(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<LogPage> {
    const page = this.#page;
    if (stream !== this.#stream || page === undefined) {
      return this.#log.read(stream, options);
    }
    this.#page = undefined;
    return Promise.resolve(page);
  }
}
