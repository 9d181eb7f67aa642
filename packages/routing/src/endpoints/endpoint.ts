/**
 * What an endpoint says of itself.
 * @module
 */
import type { EndpointId, FailureDomain } from "@briarhill/common/ids/ids";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";

/** One endpoint that requests may be sent to. */
export interface EndpointStructure {
  readonly id: EndpointId;
  readonly service: string;
  readonly address: HttpAddress;
  readonly failureDomain: FailureDomain;
  /** How many requests it runs at once. */
  readonly slots: number;
  /** It takes no new work, as it is about to stop. */
  readonly isLeaving: boolean;
  /** How much longer it stays slow after its start, in milliseconds. */
  readonly coldMs: number;
  /** When it was started, in milliseconds since 1970; 0 where it doesn't say. */
  readonly startedAtMs: number;
  /** The version of each model that it holds. */
  readonly models: ReadonlyMap<string, number>;
  /** Counts what it has said of itself since its start. */
  readonly beat: number;
}
