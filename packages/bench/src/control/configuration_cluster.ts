/**
 * Runs hosts that follow one configuration, in one process and in virtual time.
 * @module
 */
import { Logger } from "@briarhill/common/logging/logger";
import { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { ManualClock } from "@briarhill/common/time/manual_clock";
import {
  CONFIGURATION_STREAM,
  type ConfigurationChange,
  encodeConfigurationRecord,
} from "@briarhill/control/configuration/configuration_record";
import { FakeLog, type FakeLogSettings } from "@briarhill/fakes/log/fake_log";
import { LogContractSource } from "@briarhill/node/configuration/log_contract_source";
import { LogLeaseManager } from "@briarhill/node/leases/log_lease_manager";
import type { NodeContext } from "@briarhill/node/node/node_context";
import type { LogService } from "@briarhill/ports/log/log_service";
import { setImmediate } from "node:timers/promises";
import { type Mesh, MeshPeerNetwork } from "./mesh_peer_network.ts";

/** One simulated host of a cluster. */
export interface ClusterHost {
  readonly host: string;
  readonly leases: LogLeaseManager;
  readonly contracts: LogContractSource;
  /** Stops the host at once and removes it from the mesh. */
  readonly kill: () => void;
}

/** Options of a cluster. */
export interface ClusterOptions {
  readonly seed: number;
  readonly log?: Partial<FakeLogSettings>;
}

/** Runs simulated hosts that follow one configuration and share one log. */
export class ConfigurationCluster {
  readonly clock = new ManualClock(1_000_000);
  readonly log: FakeLog;
  readonly #seed: number;
  readonly #mesh: Mesh = new Map();
  #sequence = 0;

  constructor(options: ClusterOptions) {
    this.#seed = options.seed;
    this.log = new FakeLog(this.clock, {
      appendsPerSecond: 1_000_000,
      ...options.log,
    });
  }

  /**
   * Starts a host.
   *
   * @param host - The name of the host.
   * @param options - The log that this host reads, and whether it has no peers.
   */
  start(
    host: string,
    options: { readonly log?: LogService; readonly isIsolated?: boolean } = {},
  ): ClusterHost {
    const context = this.#createContext(host, options.log ?? this.log);
    const stopping = new AbortController();
    const peers = options.isIsolated
      ? undefined
      : new MeshPeerNetwork(host, { mesh: this.#mesh, clock: this.clock });

    const leases = new LogLeaseManager(context, peers);
    const contracts = new LogContractSource(context, { leases, peers });
    void leases.run(stopping.signal);
    void contracts.run(stopping.signal);
    const kill = () => {
      stopping.abort();
      peers?.close();
    };
    return { host, leases, contracts, kill };
  }

  /**
   * Appends a configuration change to the log and returns its offset.
   *
   * @param change - The change.
   */
  async publish(change: ConfigurationChange): Promise<number> {
    const sequence = this.#sequence++;
    const id = { writer: "operator", session: "s", sequence };
    const value = encodeConfigurationRecord({ ...id, ...change });
    return await this.log.append(CONFIGURATION_STREAM, value);
  }

  /**
   * Advances virtual time and runs the timers that are due.
   *
   * @param byMs - The time to advance by.
   * @param stepMs - The length of one step.
   */
  async advance(byMs: number, stepMs = 50): Promise<void> {
    for (let passedMs = 0; passedMs < byMs; passedMs += stepMs) {
      this.clock.advance(stepMs);
      await setImmediate();
    }
  }

  #createContext(host: string, log: LogService): NodeContext {
    const unused = {} as NodeContext;
    return {
      ...unused,
      settings: { host } as NodeContext["settings"],
      clock: this.clock,
      random: new SeededRandom(this.#seed + this.#mesh.size),
      logger: Logger.create({ host }),
      histograms: new HistogramRegistry(),
      log,
    };
  }
}
