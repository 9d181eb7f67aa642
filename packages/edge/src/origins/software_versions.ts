/**
 * Registers the software versions of the services in the shared log, and follows
 * those that other hosts register. A stream must not begin at a version that is
 * not registered.
 * @module
 */
import {
  AppendConflictError,
  BriarhillError,
} from "@briarhill/common/errors/errors";
import type { LogRecord, SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { VERSION_TOPIC } from "@briarhill/platform/names/topics";
import {
  formatVersionKey,
  parseVersionKey,
  type ServiceVersion,
  VersionRegistry,
} from "@briarhill/routing/origins/version_registry";
import { Buffer } from "node:buffer";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import { LogFollower } from "../log/log_follower.ts";

const READ_WAIT_MS = 700;
/** The age up to which the list of versions is used without another read, in milliseconds; a long-polling read returns in less. */
const MAX_AGE_MS = 1_000;
/** The number of conflicts with other hosts after which a registration is given up. */
const MAX_CONFLICTS = 8;
/** How long a version is kept registered after its last endpoint, in milliseconds; longer than a stream can be taken up. */
const RETENTION_MS = 120_000;
const PRUNE_INTERVAL_MS = 5_000;
const PLACE = { topic: VERSION_TOPIC, partition: 0 };

/** Options of {@link SoftwareVersions}. */
export interface SoftwareVersionsOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: EndpointDirectory;
  /** Returns whether this host removes the versions of a service that are gone. */
  readonly isOwner: (service: string) => boolean;
  /** Called from time to time, to remove what belongs to streams that have ended. */
  readonly onPruned: () => void;
}

/** The registered software versions of all services. */
export class SoftwareVersions {
  readonly registry = new VersionRegistry();
  readonly #options: SoftwareVersionsOptions;
  readonly #follower: LogFollower;
  readonly #stopping = new AbortController();
  readonly #registering = new Map<string, Promise<boolean>>();
  /** The time at which each version last had an endpoint, on the monotonic clock. */
  readonly #lastSeenMs = new Map<string, number>();

  constructor(options: SoftwareVersionsOptions) {
    this.#options = options;
    this.#follower = new LogFollower({
      ...options,
      place: PLACE,
      fromNewest: true,
      waitMs: READ_WAIT_MS,
      pauseMs: 0,
      onSnapshot: (records) => {
        this.registry.clear();
        this.#applyRecords(records);
      },
      onRecords: (records) => this.#applyRecords(records),
    });
  }

  /** Starts to follow the versions. */
  start(): void {
    this.#follower.start();
    void this.#runPruning();
  }

  /** Stops following the versions. */
  stop(): void {
    this.#stopping.abort();
    this.#follower.stop();
  }

  /** Whether the list is recent enough to be used without another read. */
  get isCurrent(): boolean {
    return this.#follower.getAgeMs() <= MAX_AGE_MS;
  }

  /** Reads the list to its end, and returns whether it holds all versions that were registered before this call. */
  async readToEnd(): Promise<boolean> {
    try {
      await this.#follower.readToEnd();
      return true;
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      this.#options.logger.error("software-versions-unreadable", error);
      return false;
    }
  }

  /**
   * Registers a version, and resolves with whether it is registered.
   *
   * @param version - The version.
   */
  registerVersion(version: ServiceVersion): Promise<boolean> {
    const key = formatVersionKey(version);
    const running = this.#registering.get(key) ??
      this.#register(version).finally(() => this.#registering.delete(key));
    this.#registering.set(key, running);
    return running;
  }

  /** The append is conditional, so that a version keeps the place that it was first given. */
  async #register(version: ServiceVersion): Promise<boolean> {
    const { log, logger } = this.#options;
    const key = formatVersionKey(version);
    for (let conflicts = 0; conflicts < MAX_CONFLICTS; conflicts++) {
      if (!await this.readToEnd()) {
        return false;
      }
      if (this.registry.hasVersion(version)) {
        return true;
      }
      try {
        const { offset } = await log.append(
          PLACE,
          [{ key, value: Buffer.from("{}") }],
          this.#follower.endOffset,
        );
        this.registry.addVersion(version, offset);
        logger.info("software-version-registered", { ...version });
        return true;
      } catch (error) {
        if (!(error instanceof BriarhillError)) {
          throw error;
        }
        if (!(error instanceof AppendConflictError)) {
          logger.error("software-version-append-failed", error, { key });
          return false;
        }
      }
    }
    return false;
  }

  async #runPruning(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await clock.sleep(PRUNE_INTERVAL_MS, signal);
      await this.#pruneVersions();
      this.#options.onPruned();
    }
  }

  async #pruneVersions(): Promise<void> {
    const { clock, directory, isOwner, log, logger } = this.#options;
    const nowMs = clock.getMonotonicMs();
    for (const version of this.registry.listAll()) {
      const key = formatVersionKey(version);
      const isServed = directory.listEndpoints(version.service).some((
        { softwareVersion },
      ) => softwareVersion === version.version);
      const lastSeenMs = isServed ? nowMs : this.#lastSeenMs.get(key) ?? nowMs;
      this.#lastSeenMs.set(key, lastSeenMs);
      if (nowMs - lastSeenMs < RETENTION_MS || !isOwner(version.service)) {
        continue;
      }
      try {
        await log.append(PLACE, [{ key, value: Buffer.alloc(0) }]);
        logger.info("software-version-removed", { ...version });
      } catch (error) {
        if (!(error instanceof BriarhillError)) {
          throw error;
        }
        logger.error("software-version-append-failed", error, { key });
      }
    }
  }

  #applyRecords(records: readonly LogRecord[]): void {
    for (const { key, value, offset } of records) {
      value.length === 0
        ? this.registry.removeVersion(key)
        : this.registry.addVersion(parseVersionKey(key), offset);
    }
  }
}
