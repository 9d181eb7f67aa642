/**
 * Reads the contracts in force from the platform's log, its snapshots and the
 * peers.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { Contract } from "@briarhill/contract/contract/contract";
import { CONFIGURATION_STREAM } from "@briarhill/control/configuration/configuration_record";
import {
  type ConfigurationState,
  type DrainQuery,
  isDrained,
} from "@briarhill/control/configuration/configuration_state";
import { isConfigurationReady } from "@briarhill/control/configuration/readiness";
import { createHash } from "node:crypto";
import type { LeaseManager } from "../leases/lease_manager.ts";
import { LogFollower } from "../log/log_follower.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import { ConfigurationPeers } from "./configuration_peers.ts";
import { ConfigurationStore } from "./configuration_store.ts";
import { ContractSource } from "./contract_source.ts";
import { SnapshotWriter } from "./snapshot_writer.ts";
import { readNewestSnapshot } from "./snapshot_reader.ts";

const POLL_WAIT_MS = 5_000;
const STARTUP_FETCH_INTERVAL_MS = 500;

/** Dependencies of `LogContractSource`. */
export interface ContractSourceParts {
  readonly leases: LeaseManager;
  /** Omitted on a host that runs without peers. */
  readonly peers?: PeerNetwork | undefined;
}

/** Provides the contracts in force from the log, its snapshots and the peers. */
export class LogContractSource extends ContractSource {
  readonly #context: NodeContext;
  readonly #store: ConfigurationStore;
  readonly #snapshots: SnapshotWriter;
  readonly #peers: ConfigurationPeers | undefined;
  readonly #follower: LogFollower;
  readonly #startedAtMs: number;
  #logFirst = 0;
  #logEnd: number | undefined;
  #isReady = false;

  constructor(context: NodeContext, parts: ContractSourceParts) {
    super();
    const store = new ConfigurationStore(context.logger);
    this.#context = context;
    this.#store = store;
    this.#startedAtMs = context.clock.getMonotonicMs();
    this.#snapshots = new SnapshotWriter(context, {
      leases: parts.leases,
      getView: () => ({ state: this.getState(), logFirst: this.#logFirst }),
    });
    this.#follower = new LogFollower(context, {
      readOnce: (signal) => this.#readOnce(signal),
      onFailure: (error) =>
        context.logger.error("configuration-read-failed", error),
    });
    this.#peers = parts.peers === undefined
      ? undefined
      : new ConfigurationPeers(context, { peers: parts.peers, store });
  }

  override getContracts(): readonly Contract[] {
    return this.#store.getContracts();
  }

  override getContract(customer: CustomerId): Contract | undefined {
    return this.#store.getContract(customer);
  }

  override getContractByKey(key: string): Contract | undefined {
    const hash = createHash("sha256").update(key).digest("hex");
    return this.#store.getContractByKeyHash(hash);
  }

  override getRevision(): number {
    return this.getState().offset;
  }

  override subscribe(callback: () => void): void {
    this.#store.subscribe(callback);
  }

  /** Returns whether the host has read the configuration in force; stays true from then on. */
  override isReady(): boolean {
    this.#isReady ||= isConfigurationReady({
      appliedOffset: this.getRevision(),
      logEnd: this.#logEnd,
      peerOffset: this.#peers?.getHighestPeerOffset(),
      peers: this.#peers?.countPeers() ?? 0,
      uptimeMs: this.#context.clock.getMonotonicMs() - this.#startedAtMs,
    });
    return this.#isReady;
  }

  /** Returns the configuration that operators have declared. */
  getState(): ConfigurationState {
    return this.#store.getAppliedConfiguration().state;
  }

  /** Returns the SHA-256 of the declared configuration, in hexadecimal. */
  getSha256(): string {
    return this.#store.getSha256();
  }

  /**
   * Returns whether an operator is draining a host or an endpoint.
   *
   * @param query - The names that identify the host or endpoint.
   */
  isDrained(query: DrainQuery): boolean {
    return isDrained(this.getState(), query);
  }

  /**
   * Follows the log, exchanges configuration with peers and writes snapshots until
   * the signal aborts.
   *
   * @param signal - Stops all of these tasks.
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#follower.run(signal),
      this.#fetchUntilReady(signal),
      this.#peers?.run(signal),
      this.#snapshots.run(signal),
    ]);
  }

  async #fetchUntilReady(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isReady()) {
      await this.#peers?.fetchFromRandomPeers();
      await this.#context.clock.sleep(STARTUP_FETCH_INTERVAL_MS, signal);
    }
  }

  async #readOnce(signal: AbortSignal): Promise<void> {
    const page = await this.#context.log.read(CONFIGURATION_STREAM, {
      from: this.getRevision() + 1,
      waitMs: POLL_WAIT_MS,
      signal,
    });
    this.#logFirst = page.first;
    this.#logEnd = Math.max(this.#logEnd ?? 0, page.end);
    const gap = this.#store.handlePage(page);
    if (gap) {
      await this.#closeGap(signal);
    }
  }

  /** Recovers from a snapshot and from peers after records expired before this host read them. */
  async #closeGap(signal: AbortSignal): Promise<void> {
    const before = this.getRevision();
    this.#store.handleSnapshot(await readNewestSnapshot(this.#context.log));
    await this.#peers?.fetchFromRandomPeers();
    if (this.getRevision() === before) {
      this.#context.logger.warn("configuration-gap", {
        offset: before,
        first: this.#logFirst,
      });
      await this.#follower.waitBeforeRetry(signal);
    }
  }
}
