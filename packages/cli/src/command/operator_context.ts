/**
 * What the commands run with, so that tests can put stand-ins in its place.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { LogService } from "@briarhill/ports/log/log_service";
import type { BaseContext } from "clipanion";
import type { NodeClient } from "../operator/node_client.ts";

/** What the commands run with. */
export interface OperatorContext extends BaseContext {
  readonly clock: Clock;
  readonly client: NodeClient;
  /** Ends commands that would run until they are stopped. */
  readonly signal: AbortSignal;
  /** Opens the log at an address. */
  readonly openLog: (address: string) => LogService;
}
