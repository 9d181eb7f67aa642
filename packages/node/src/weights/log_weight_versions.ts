/**
 * Announces weight versions through the platform's log, and passes announced
 * versions to the leader of the rollouts.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { ModelName, WeightVersion } from "@briarhill/common/ids/ids";
import { z } from "zod";
import type { NodeContext } from "../node/node_context.ts";
import { WeightLeader, type WeightLeaderOptions } from "./weight_leader.ts";
import { type AnnouncedVersion, WeightVersions } from "./weight_versions.ts";

const STREAM = "weights";
const POLL_WAIT_MS = 5000;
const RETRY_DELAY_MS = 500;
const RESOLUTION_TIMEOUT_MS = 10_000;
const RESOLUTION_POLL_INTERVAL_MS = 100;

const ANNOUNCEMENT = z.object({ model: z.string(), version: z.number().int() });

/** Weight versions, announced through the platform's log. */
export class LogWeightVersions extends WeightVersions {
  readonly #context: NodeContext;
  readonly #leader: WeightLeader;
  readonly #versions = new Map<ModelName, AnnouncedVersion[]>();
  readonly #callbacks: ((announced: AnnouncedVersion) => void)[] = [];
  #nextOffset = 0;
  #sequence = 0;

  constructor(context: NodeContext, options: WeightLeaderOptions) {
    super();
    this.#context = context;
    this.#leader = new WeightLeader(context, options);
  }

  override getVersions(model: ModelName): readonly AnnouncedVersion[] {
    return this.#versions.get(model) ?? [];
  }

  override async announce(
    model: ModelName,
    version: WeightVersion,
  ): Promise<void> {
    if (this.#isAnnounced(model, version)) {
      return;
    }
    const { settings, log } = this.#context;
    const sequence = ++this.#sequence;
    const record = { model, version, writer: settings.host, sequence };
    try {
      await log.append(STREAM, JSON.stringify(record));
    } catch (error) {
      await this.#waitForAnnouncement(record, error);
    }
  }

  override async fetchNewest(_model: ModelName): Promise<void> {
    let end = Infinity;
    while (this.#nextOffset < end) {
      end = await this.#readOnce({ waitMs: 0 });
    }
  }

  override subscribe(callback: (announced: AnnouncedVersion) => void): void {
    this.#callbacks.push(callback);
  }

  /**
   * Follows the log and leads weight rollouts until the signal aborts.
   *
   * @param signal - Stops both.
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#follow(signal), this.#leader.run(signal)]);
  }

  /** Releases the leases, so that another host continues the rollouts. */
  release(): Promise<void> {
    return this.#leader.release();
  }

  async #follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.#readOnce({ waitMs: POLL_WAIT_MS, signal });
      } catch (error) {
        if (!signal.aborted) {
          this.#context.logger.error("weights-read-failed", error);
          await this.#context.clock.sleep(RETRY_DELAY_MS, signal);
        }
      }
    }
  }

  /** Reads the next page, and returns the end of the stream as of the call. */
  async #readOnce(
    options: { readonly waitMs: number; readonly signal?: AbortSignal },
  ): Promise<number> {
    const page = await this.#context.log.read(STREAM, {
      from: this.#nextOffset,
      ...options,
    });
    for (const record of page.records) {
      this.#nextOffset = Math.max(this.#nextOffset, record.offset + 1);
      const { model, version } = ANNOUNCEMENT.parse(JSON.parse(record.value));
      this.#addVersion({ model, version, announcedAtMs: record.timeMs });
    }
    this.#nextOffset = Math.max(this.#nextOffset, page.first);
    return page.records.length === 0 ? this.#nextOffset : page.end;
  }

  /** Waits until the record appears in the stream; it may have been appended although the response was lost. */
  async #waitForAnnouncement(
    record: { readonly model: ModelName; readonly version: WeightVersion },
    error: unknown,
  ): Promise<void> {
    const { clock } = this.#context;
    const endMs = clock.getMonotonicMs() + RESOLUTION_TIMEOUT_MS;
    const isUnknown = error instanceof PortError && error.outcome === "unknown";
    while (isUnknown && clock.getMonotonicMs() < endMs) {
      if (this.#isAnnounced(record.model, record.version)) {
        return;
      }
      await clock.sleep(RESOLUTION_POLL_INTERVAL_MS);
    }
    throw error;
  }

  #isAnnounced(model: ModelName, version: WeightVersion): boolean {
    return this.getVersions(model).some((known) => known.version === version);
  }

  #addVersion(announced: AnnouncedVersion): void {
    const versions = this.#versions.get(announced.model) ?? [];
    if ((versions.at(-1)?.version ?? -1) < announced.version) {
      this.#versions.set(announced.model, [...versions, announced]);
      this.#leader.handleAnnounced(announced);
      this.#callbacks.forEach((callback) => callback(announced));
    }
  }
}
