/**
 * Writes snapshots of the configuration to the platform's log. Only the holder
 * of the snapshot lease writes.
 * @module
 */
import type { ConfigurationState } from "@briarhill/control/configuration/configuration_state";
import {
  encodeSnapshot,
  SNAPSHOT_STREAM,
} from "@briarhill/control/snapshots/snapshot";
import { shouldWriteSnapshot } from "@briarhill/control/snapshots/snapshot_schedule";
import type { LeaseManager } from "../leases/lease_manager.ts";
import type { NodeContext } from "../node/node_context.ts";

/** The lease whose holder writes snapshots. */
export const SNAPSHOT_LEASE = "snapshots";

const CHECK_INTERVAL_MS = 5_000;

/** The applied configuration and the retained range of its stream. */
export interface SnapshotView {
  readonly state: ConfigurationState;
  /** The oldest offset that the configuration stream retains. */
  readonly logFirst: number;
}

/** Writes configuration snapshots while this host holds the snapshot lease. */
export class SnapshotWriter {
  readonly #context: NodeContext;
  readonly #leases: LeaseManager;
  readonly #getView: () => SnapshotView;
  /** The newest snapshot written under the current lease; cleared when the lease is lost. */
  #newest: { readonly offset: number; readonly atMs: number } | undefined;

  constructor(
    context: NodeContext,
    parts: {
      readonly leases: LeaseManager;
      readonly getView: () => SnapshotView;
    },
  ) {
    this.#context = context;
    this.#leases = parts.leases;
    this.#getView = parts.getView;
  }

  /**
   * Writes snapshots while this host holds the lease, until the signal aborts.
   *
   * @param signal - Stops the checks.
   */
  async run(signal: AbortSignal): Promise<void> {
    this.#leases.seek(SNAPSHOT_LEASE);
    while (!signal.aborted) {
      await this.#context.clock.sleep(CHECK_INTERVAL_MS, signal);
      try {
        await this.#writeIfDue();
      } catch (error) {
        this.#context.logger.error("snapshot-write-failed", error);
      }
    }
  }

  async #writeIfDue(): Promise<void> {
    if (this.#leases.getFencing(SNAPSHOT_LEASE) === undefined) {
      this.#newest = undefined;
      return;
    }
    const nowMs = this.#context.clock.getMonotonicMs();
    const { state, logFirst } = this.#getView();
    const isDue = shouldWriteSnapshot({
      appliedOffset: state.offset,
      oldestLogOffset: logFirst,
      snapshotOffset: this.#newest?.offset ?? -1,
      snapshotAgeMs: this.#newest === undefined
        ? Infinity
        : nowMs - this.#newest.atMs,
    });
    if (isDue) {
      await this.#write(state, nowMs);
    }
  }

  async #write(state: ConfigurationState, nowMs: number): Promise<void> {
    for (const part of encodeSnapshot(state)) {
      // A duplicate part is harmless; a missing part fails the hash check on reading.
      await this.#context.log.append(SNAPSHOT_STREAM, JSON.stringify(part));
    }
    this.#newest = { offset: state.offset, atMs: nowMs };
    this.#context.logger.info("snapshot-written", { offset: state.offset });
  }
}
