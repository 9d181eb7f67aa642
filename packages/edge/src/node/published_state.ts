/**
 * Follows what the operator, the trainers and the endpoints publish.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  ENDPOINT_TOPIC,
  OPERATOR_TOPIC,
} from "@briarhill/platform/names/topics";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import { LogFollower } from "../log/log_follower.ts";
import { OperatorState } from "./operator_state.ts";

/** The longest wait of one read, in milliseconds: a silent connection shows this late. */
const READ_WAIT_MS = 800;
/** The pause after entries of endpoints, in milliseconds, which come many a second; well below the bound for leaving endpoints. */
const ENDPOINT_PAUSE_MS = 350;

/** What following needs. */
export interface PublishedStateOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: EndpointDirectory;
  /** Is called with each configuration that comes into force. */
  readonly onConfiguration: (table: RouteTable) => void;
}

/** What the operator, the trainers and the endpoints have published. */
export class PublishedState {
  readonly #operator: OperatorState;
  readonly #operatorFollower: LogFollower;
  readonly #endpointFollower: LogFollower;

  constructor(options: PublishedStateOptions) {
    const { log, clock, logger, directory } = options;
    this.#operator = new OperatorState(logger, options.onConfiguration);
    const common = { log, clock, logger, fromNewest: true };
    this.#operatorFollower = new LogFollower({
      ...common,
      place: { topic: OPERATOR_TOPIC, partition: 0 },
      waitMs: READ_WAIT_MS,
      pauseMs: 0,
      onSnapshot: (records) => this.#operator.applyRecords(records),
      onRecords: (records) => this.#operator.applyRecords(records),
    });
    this.#endpointFollower = new LogFollower({
      ...common,
      place: { topic: ENDPOINT_TOPIC, partition: 0 },
      waitMs: READ_WAIT_MS,
      pauseMs: ENDPOINT_PAUSE_MS,
      onSnapshot: (records) => directory.applySnapshot(records),
      onRecords: (records) => directory.applyRecords(records),
    });
  }

  /** The routes in force, or undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#operator.table;
  }

  /** The newest version of each model that its trainer has named. */
  get versions(): ReadonlyMap<string, number> {
    return this.#operator.versions;
  }

  /** When the list of endpoints was last unreadable, on the monotonic clock. */
  get disturbedAtMs(): number {
    return this.#endpointFollower.failedAtMs;
  }

  /** Begins to follow. */
  start(): void {
    this.#operatorFollower.start();
    this.#endpointFollower.start();
  }

  /** Stops following. */
  stop(): void {
    this.#operatorFollower.stop();
    this.#endpointFollower.stop();
  }
}
