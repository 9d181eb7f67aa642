/**
 * Finds out at which software version a stream has begun. What is not known must not
 * be guessed: a host without a current list of versions does not know.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { Logger } from "@briarhill/common/logging/logger";
import type { ServiceVersion } from "@briarhill/routing/origins/version_registry";
import type { SoftwareVersions } from "./software_versions.ts";
import type { StreamRecords } from "./stream_records.ts";

/** The maximum number of recorded streams that this host remembers itself. */
const MAX_LOCAL_STREAMS = 4_096;

/** Options of {@link OriginFinder}. */
export interface OriginFinderOptions {
  readonly logger: Logger;
  readonly versions: SoftwareVersions;
  readonly records: StreamRecords;
}

/** Finds out at which software version streams have begun. */
export class OriginFinder {
  readonly #options: OriginFinderOptions;
  /** The versions at which recorded streams of this host have begun, by client attempt. */
  readonly #local = new Map<string, ServiceVersion>();

  constructor(options: OriginFinderOptions) {
    this.#options = options;
  }

  /**
   * Returns whether this host has recorded a stream.
   *
   * @param attemptId - The client attempt that began it.
   */
  hasLocal(attemptId: string): boolean {
    return this.#local.has(attemptId);
  }

  /**
   * Remembers a stream that this host has recorded.
   *
   * @param attemptId - The client attempt that begins it.
   * @param origin - The version at which it begins.
   */
  addLocal(attemptId: string, origin: ServiceVersion): void {
    this.#local.set(attemptId, origin);
    const [oldest = ""] = this.#local.keys();
    if (this.#local.size > MAX_LOCAL_STREAMS) {
      this.#local.delete(oldest);
    }
  }

  /**
   * Returns where a stream has begun, or undefined if this host can't know.
   *
   * @param attemptId - The client attempt that received its first event; empty if it is not named.
   * @param services - The services of the route.
   */
  async findOrigin(
    attemptId: string,
    services: readonly string[],
  ): Promise<ServiceVersion | undefined> {
    const { versions } = this.#options;
    const local = this.#local.get(attemptId);
    if (local !== undefined) {
      return local;
    }
    // The stream may have begun at a version that was registered a moment ago.
    if (!await versions.readToEnd()) {
      return undefined;
    }
    const unrecorded = versions.registry.getUnrecordedOrigin(services);
    if (versions.registry.listVersions(services).length <= 1) {
      return unrecorded;
    }
    const recorded = attemptId === ""
      ? "unknown"
      : await this.#findRecord(attemptId);
    return recorded === "unknown" ? undefined : recorded ?? unrecorded;
  }

  async #findRecord(
    attemptId: string,
  ): Promise<ServiceVersion | "unknown" | undefined> {
    try {
      return await this.#options.records.findStream(attemptId);
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      this.#options.logger.error("stream-records-unreadable", error);
      return "unknown";
    }
  }
}
