/**
 * Defines a caller's request as it passes from the listener to its handler.
 * @module
 */
import type { RequestHead } from "@briarhill/platform/ingress/request_head";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";

/** A caller's request and the response to write. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: RequestHead;
  /** The headers to pass on, as alternating names and values; without a key once the caller is known. */
  readonly rawHeaders: readonly string[];
  /** The name of the caller's workspace; undefined if requests need no key or the caller has none. */
  readonly workspace?: string;
  /** The time at which the request arrived, on the monotonic clock. */
  readonly arrivedAtMs: number;
  /** Whether another host forwarded the request for its client. */
  readonly isForwarded: boolean;
  /** Aborts when this host ends the requests that are still open. */
  readonly endSignal: AbortSignal;
}

/** A request that matched a route, with its complete body. */
export interface RoutedExchange extends CallerExchange {
  readonly route: RouteStructure;
  readonly body: Buffer;
}
