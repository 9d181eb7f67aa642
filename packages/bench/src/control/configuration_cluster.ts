/**
 * Hosts that follow one configuration, inside one process and in virtual time.
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
import { LogLeaseKeeper } from "@briarhill/node/leases/log_lease_keeper";
import type { NodeContext } from "@briarhill/node/node/node_context";
import type { LogService } from "@briarhill/ports/log/log_service";
import { setImmediate } from "node:timers/promises";
import { type Mesh, MeshPeerNetwork } from "./mesh_peer_network.ts";

/** One host of a cluster. */
export interface ClusterHost {
  readonly host: string;
  readonly leases: LogLeaseKeeper;
  readonly contracts: LogContractSource;
  /** Ends the host at once. */
  readonly kill: () => void;
}

/** How a cluster is built. */
export interface ClusterOptions {
  readonly seed: number;
  readonly log?: Partial<FakeLogSettings>;
}

/** Hosts that follow one configuration. */
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
   * @param host - Its name.
   * @param options - The log as this host sees it, and whether it has peers.
   */
  start(
    host: string,
    options: { readonly log?: LogService; readonly isAlone?: boolean } = {},
  ): ClusterHost {
    const context = this.#createContext(host, options.log ?? this.log);
    const stopping = new AbortController();
    const peers = options.isAlone
      ? undefined
      : new MeshPeerNetwork(host, { mesh: this.#mesh, clock: this.clock });

    const leases = new LogLeaseKeeper(context, peers);
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
   * Appends a change to the log.
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
   * Lets virtual time pass, and all that is due happen.
   *
   * @param byMs - How long.
   * @param stepMs - How finely time passes.
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
