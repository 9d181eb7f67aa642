/**
 * The clock, clients and signal that commands run with. Tests replace them by
 * fakes.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { LogService } from "@briarhill/ports/log/log_service";
import type { BaseContext } from "clipanion";
import type { NodeClient } from "../operator/node_client.ts";

/** The environment of a command. */
export interface OperatorContext extends BaseContext {
  readonly clock: Clock;
  readonly client: NodeClient;
  /** Stops commands that otherwise run until they are interrupted. */
  readonly signal: AbortSignal;
  /** Opens the log service at an address. */
  readonly openLog: (address: string) => LogService;
}
