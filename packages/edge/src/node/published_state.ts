/**
 * Follows the topics of the shared log to which the operator, the trainers and
 * the endpoints publish, from the newest record of each key.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
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

/** The maximum wait of one read, in milliseconds; it delays the detection of a silent connection by as much. */
const MAX_READ_WAIT_MS = 800;
/** The pause after a read of endpoint records, in milliseconds: many arrive each second. It is well below the time limit within which a leaving endpoint must be noticed. */
const ENDPOINT_READ_PAUSE_MS = 350;

/** Options of {@link PublishedState}. */
export interface PublishedStateOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: EndpointDirectory;
  /** Called with each configuration that comes into force. */
  readonly onConfiguration: (table: RouteTable) => void;
}

/** State that the operator, the trainers and the endpoints have published. */
export class PublishedState {
  readonly #operator: OperatorState;
  readonly #operatorFollower: LogFollower;
  readonly #endpointFollower: LogFollower;
  readonly #logger: Logger;

  constructor(options: PublishedStateOptions) {
    this.#logger = options.logger;
    const { log, clock, logger, directory } = options;
    this.#operator = new OperatorState(logger, options.onConfiguration);
    const common = { log, clock, logger, fromNewest: true };
    this.#operatorFollower = new LogFollower({
      ...common,
      place: { topic: OPERATOR_TOPIC, partition: 0 },
      waitMs: MAX_READ_WAIT_MS,
      pauseMs: 0,
      onSnapshot: (records) => this.#operator.applyRecords(records),
      onRecords: (records) => this.#operator.applyRecords(records),
    });
    this.#endpointFollower = new LogFollower({
      ...common,
      place: { topic: ENDPOINT_TOPIC, partition: 0 },
      waitMs: MAX_READ_WAIT_MS,
      pauseMs: ENDPOINT_READ_PAUSE_MS,
      onSnapshot: (records) => directory.applySnapshot(records),
      onRecords: (records) => directory.applyRecords(records),
    });
  }

  /** The route table in force, or undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#operator.table;
  }

  /** The newest version of each model that its trainer has published. */
  get versions(): ReadonlyMap<string, number> {
    return this.#operator.versions;
  }

  /** The time of the last failed read of the endpoint topic, on the monotonic clock. */
  get endpointReadFailedAtMs(): number {
    return this.#endpointFollower.lastFailureAtMs;
  }

  /** Whether the last read of the operator topic has failed. */
  get isConfigurationUnreadable(): boolean {
    const { lastFailureAtMs, caughtUpAtMs } = this.#operatorFollower;
    return lastFailureAtMs > caughtUpAtMs;
  }

  /** Returns the time since the operator topic was last read to its end, in milliseconds. */
  getConfigurationAgeMs(): number {
    return this.#operatorFollower.getAgeMs();
  }

  /** Reads the operator topic to its end; logs a failure, which shows in its age. */
  async readConfiguration(): Promise<void> {
    const error = await readToEnd(this.#operatorFollower);
    if (error !== undefined) {
      this.#logger.error("configuration-unreadable", error);
    }
  }

  /** Returns the time since the list of endpoints was last read to its end, in milliseconds. */
  getEndpointListAgeMs(): number {
    return this.#endpointFollower.getAgeMs();
  }

  /** Reads the list of endpoints to its end; logs a failure, which shows in its age. */
  async readEndpoints(): Promise<void> {
    const error = await readToEnd(this.#endpointFollower);
    if (error !== undefined) {
      this.#logger.error("endpoints-unreadable", error);
    }
  }

  /** Starts to follow the topics. */
  start(): void {
    this.#operatorFollower.start();
    this.#endpointFollower.start();
  }

  /** Stops following the topics. */
  stop(): void {
    this.#operatorFollower.stop();
    this.#endpointFollower.stop();
  }
}

/** Reads a topic to its end and returns the error if that fails. */
async function readToEnd(
  follower: LogFollower,
): Promise<BriarhillError | undefined> {
  try {
    await follower.readToEnd();
    return undefined;
  } catch (error) {
    if (!(error instanceof BriarhillError)) {
      throw error;
    }
    return error;
  }
}
