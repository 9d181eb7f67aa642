/**
 * An endpoint that ended while it ran a request.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

/** One incarnation of an endpoint that ended while it ran a request. */
export interface CrashRecord {
  /** Identifies the content of the request. */
  readonly digest: string;
  readonly endpoint: EndpointId;
  /** The start time of the endpoint's incarnation in milliseconds since 1970. */
  readonly startedAtMs: number;
  readonly service: string;
  readonly softwareVersion: string;
  /** Whether the request was already under suspicion when it was sent. */
  readonly isTrial: boolean;
  /** When the end was found, in milliseconds since 1970. */
  readonly foundAtMs: number;
}

/**
 * Formats the key of a record: the request and the incarnation that ended.
 *
 * @example
 * ```ts
 * const key = formatCrashKey({ digest: "d", endpoint: "e", startedAtMs: 1 });
 * ```
 * @param record - The request and the incarnation.
 */
export function formatCrashKey(
  { digest, endpoint, startedAtMs }: Pick<
    CrashRecord,
    "digest" | "endpoint" | "startedAtMs"
  >,
): string {
  return `${digest}|${endpoint}|${startedAtMs}`;
}
