/**
 * Implements the port to the platform's log over HTTP. A page whose records are
 * out of order or out of bounds must be rejected.
 * @module
 */
import { z } from "zod";
import { HttpClient } from "../http/http_client.ts";
import type { HttpSettings } from "../http/http_settings.ts";
import {
  type LogPage,
  type LogReadOptions,
  LogService,
  type Offset,
  type StreamName,
} from "./log_service.ts";

const APPEND_RESPONSE = z.object({ offset: z.number().int().min(0) });
/** The schema of a page of records. */
export const LOG_PAGE: z.ZodType<LogPage> = z.object({
  records: z.array(z.object({
    offset: z.number().int().min(0),
    timeMs: z.number(),
    value: z.string(),
  })),
  first: z.number().int().min(0),
  end: z.number().int().min(0),
}).refine(isOrdered, "record offsets must ascend, from `first` to below `end`");

/** Calls the platform's log: `POST` and `GET /streams/NAME`. */
export class HttpLogService extends LogService {
  readonly #client: HttpClient;

  constructor(address: string, settings?: Partial<HttpSettings>) {
    super();
    this.#client = new HttpClient("log", address, settings);
  }

  override async append(stream: StreamName, value: string): Promise<Offset> {
    const { offset } = await this.#client.fetchJson({
      operation: "append",
      method: "POST",
      path: getPath(stream),
      headers: { "content-type": "text/plain; charset=utf-8" },
      body: value,
    }, APPEND_RESPONSE);
    return offset;
  }

  override read(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<LogPage> {
    const query = new URLSearchParams({ from: String(options.from) });
    if (options.limit !== undefined) {
      query.set("limit", String(options.limit));
    }
    if (options.waitMs !== undefined) {
      query.set("wait_ms", String(options.waitMs));
    }
    return this.#client.fetchJson(
      {
        operation: "read",
        method: "GET",
        path: `${getPath(stream)}?${query}`,
        signal: options.signal,
        extraTimeoutMs: options.waitMs ?? 0,
      },
      LOG_PAGE.refine(
        ({ records }) => (records[0]?.offset ?? options.from) >= options.from,
        "record offsets must not be below the requested offset",
      ),
    );
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#client.close();
  }
}

function getPath(stream: StreamName): string {
  return `/streams/${encodeURIComponent(stream)}`;
}

function isOrdered(page: LogPage): boolean {
  return page.records.every((record, index) => {
    const previous = page.records[index - 1]?.offset ?? page.first - 1;
    return record.offset > previous && record.offset < page.end;
  });
}
