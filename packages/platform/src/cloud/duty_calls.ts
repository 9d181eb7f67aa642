/**
 * Encodes the calls to the platform's API that one host makes for all, and
 * decodes their responses.
 * @module
 */
import { Buffer } from "node:buffer";
import { DUTY_HOLDER, FENCING_TOKEN } from "../names/headers.ts";
import { SCALE_PATH, USAGE_PATH } from "../names/paths.ts";

/** The duty to report the usage of each window. */
export const USAGE_DUTY = "usage_report";
/** The duty to order servers. */
export const SCALING_DUTY = "autoscale";

/** The holder of the duties and its fencing number. */
export interface DutyHolder {
  readonly holder: string;
  readonly token: number;
}

/** A call to the platform's API, without its address. */
export interface DutyCall {
  readonly path: string;
  readonly body: Buffer;
}

/** The requests of each workspace that began to run in a window. */
export interface WindowUsage {
  readonly window: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** The number of servers of one kind that a service is to have in a failure domain. */
export interface ServerOrder {
  readonly service: string;
  readonly failureDomain: string;
  /** Whether the servers may be reclaimed, for a lower price. */
  readonly isReclaimable: boolean;
  readonly count: number;
}

/**
 * The reply of the platform's API: "none-available" if it has no such servers at
 * the moment, "throttled" if it takes no more calls now.
 */
export type DutyReply =
  | "accepted"
  | "none-available"
  | "throttled"
  | "rejected";

/**
 * Returns the call that reports the usage of a window.
 *
 * @example
 * ```ts
 * const { path } = encodeUsage({ window: 7, counts: new Map([["a", 3]]) });
 * ```
 * @param usage - The window and its requests.
 */
export function encodeUsage({ window, counts }: WindowUsage): DutyCall {
  return createCall(USAGE_PATH, {
    windowId: window,
    // Sorted, so that every repetition has the same bytes.
    counts: Object.fromEntries([...counts].sort(([a], [b]) => a < b ? -1 : 1)),
  });
}

/**
 * Returns the call that orders servers.
 *
 * @example
 * ```ts
 * const { path } = encodeServerOrder({
 *   service: "engines",
 *   failureDomain: "a",
 *   isReclaimable: false,
 *   count: 6,
 * });
 * ```
 * @param order - The number of servers, their kind and their place.
 */
export function encodeServerOrder(order: ServerOrder): DutyCall {
  return createCall(SCALE_PATH, {
    service: order.service,
    zone: order.failureDomain,
    batchSize: order.count,
    ...(order.isReclaimable ? { spot: true } : {}),
  });
}

/**
 * Returns the headers that state who makes a call.
 *
 * @example
 * ```ts
 * const headers = encodeDutyHolder({ holder: "host-1", token: 12 });
 * ```
 * @param holder - The holder of the duties.
 */
export function encodeDutyHolder(
  { holder, token }: DutyHolder,
): readonly string[] {
  return [
    DUTY_HOLDER,
    holder,
    FENCING_TOKEN,
    String(token),
    "Content-Type",
    "application/json",
  ];
}

/**
 * Decodes the reply of the platform's API.
 *
 * @example
 * ```ts
 * const reply = decodeDutyReply(409);
 * ```
 * @param status - The status code of the response.
 */
export function decodeDutyReply(status: number): DutyReply {
  if (status >= 200 && status < 300) {
    return "accepted";
  }
  switch (status) {
    case 409:
      return "none-available";
    case 429:
    case 503:
      return "throttled";
    default:
      return "rejected";
  }
}

function createCall(path: string, body: unknown): DutyCall {
  return { path, body: Buffer.from(JSON.stringify(body)) };
}
