/**
 * What an endpoint stand-in is created with and what it records.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import {
  ATTEMPT_ID,
  LAST_EVENT_ID,
  TENANT,
} from "@briarhill/platform/names/headers";
import type { IncomingMessage } from "node:http";

/** An order that an endpoint has accepted. */
export interface ReceivedOrder {
  readonly holder: string;
  readonly fencingToken: number;
  readonly model: string;
  readonly version: number;
  readonly atMs: number;
}

/** An attempt that an endpoint has run. */
export interface ReceivedAttempt {
  readonly attemptId: string;
  readonly path: string;
  readonly fromEvent: number;
  /** The workspace that the host has named; empty if none. */
  readonly workspace?: string;
  /** The credentials that were passed on; empty if none. */
  readonly authorization?: string;
}

/** Options of {@link EndpointStandIn}. */
export interface EndpointStandInOptions {
  readonly id: string;
  readonly service: string;
  readonly hostname: string;
  readonly port: number;
  readonly zone: string;
  /** The models of an engine; empty for a plain service. */
  readonly models: readonly string[];
  /** The number of events of a sample. */
  readonly events: number;
  /** The delay before each event, in milliseconds. */
  readonly eventMs: number;
  /** The duration of a weight load, in milliseconds. */
  readonly loadMs: number;
  /** The address in the platform's endpoint list; by default the one that it listens on. */
  readonly advertisedAddress?: HttpAddress;
}

/**
 * Returns what an endpoint records of a request that it runs.
 *
 * @example
 * ```ts
 * declare const request: import("node:http").IncomingMessage;
 *
 * const { attemptId } = createReceivedAttempt(request);
 * ```
 * @param request - The request.
 */
export function createReceivedAttempt(
  { headers, url }: IncomingMessage,
): ReceivedAttempt {
  const lastEventId = headers[LAST_EVENT_ID.toLowerCase()];
  return {
    attemptId: String(headers[ATTEMPT_ID.toLowerCase()] ?? ""),
    path: url ?? "",
    fromEvent: lastEventId === undefined ? 0 : Number(lastEventId) + 1,
    workspace: String(headers[TENANT.toLowerCase()] ?? ""),
    authorization: headers.authorization ?? "",
  };
}
