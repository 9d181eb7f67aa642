/**
 * Runs one node as a separate process, with peers that only maintain links. The
 * node reaches the stand-ins of the platform through counting relays.
 * @module
 */
import { DeadlineError } from "@briarhill/common/errors/errors";
import { SystemClock } from "@briarhill/common/time/system_clock";
import {
  type StandIns,
  startStandIns,
} from "@briarhill/fakes/standins/stand_ins";
import type { TrpcPeerNetwork } from "@briarhill/node/peers/trpc_peer_network";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { NodeProcess } from "../../failures/node_process.ts";
import { createLocalNodes } from "../../nodes/local_nodes.ts";
import { formatNodeSettings } from "../../nodes/node_settings_text.ts";
import { CountingRelay } from "./counting_relay.ts";
import {
  findCandidate,
  listModels,
  SEEDS,
  startHolders,
  startPeers,
} from "./slope_hosts.ts";
import { SlopeChanges } from "./slope_changes.ts";

const APPENDS_PER_SECOND = 10_000;
const IN_FORCE_POLL_INTERVAL_MS = 100;
const IN_FORCE_TIMEOUT_MS = 15_000;

/** The services that a node calls, including the engines. */
export const SLOPE_PORTS = ["log", "hosts", "weights", "engines"] as const;

/** One service of the platform, or the engines. */
export type SlopePort = typeof SLOPE_PORTS[number];

/** Runs one node, the services and hosts around it, and the relays between them. */
export class SlopeSystem {
  readonly node: NodeProcess;
  readonly relays: Readonly<Record<SlopePort, CountingRelay>>;
  readonly changes: SlopeChanges;
  readonly #standIns: StandIns;
  readonly #others: readonly TrpcPeerNetwork[];
  readonly #folder: string;
  readonly #clock: SystemClock;
  readonly #stopping: AbortController;
  #engines = 0;

  private constructor(options: {
    readonly node: NodeProcess;
    readonly relays: Readonly<Record<SlopePort, CountingRelay>>;
    readonly standIns: StandIns;
    readonly others: readonly TrpcPeerNetwork[];
    readonly folder: string;
    readonly clock: SystemClock;
    readonly stopping: AbortController;
  }) {
    this.#stopping = options.stopping;
    this.node = options.node;
    this.relays = options.relays;
    this.changes = new SlopeChanges(options.standIns.log);
    this.#standIns = options.standIns;
    this.#others = options.others;
    this.#folder = options.folder;
    this.#clock = options.clock;
  }

  /**
   * Starts a system.
   *
   * @param hosts - The number of hosts, including the measured node.
   * @param options - The initial numbers of engines and contracts, and the seed of
   * the other hosts.
   */
  static async start(
    hosts: number,
    options: {
      readonly engines: number;
      readonly contracts: number;
      readonly seed: number;
    },
  ): Promise<SlopeSystem> {
    const clock = new SystemClock();
    const standIns = await startPlatform();
    const relays = await startRelays(standIns);
    const others = await startPeers(hosts - 1, {
      seed: options.seed,
      clock,
    });
    const folder = mkdtempSync(join(tmpdir(), "briarhill-"));
    const node = await createNode({ folder, relays, others, standIns, clock });
    const stopping = new AbortController();
    const system = new SlopeSystem({
      node,
      relays,
      standIns,
      others,
      folder,
      clock,
      stopping,
    });
    await startHolders(standIns, {
      ...options,
      clock,
      signal: stopping.signal,
    });
    system.setEngines(options.engines);
    await system.changes.publishContracts(options.contracts);
    await node.start();
    return system;
  }

  /**
   * Adds engines to the host list up to a count; one server responds for all.
   *
   * @param count - The number of engines.
   */
  setEngines(count: number): void {
    for (; this.#engines < count; this.#engines++) {
      this.#standIns.hosts.setEndpoint({
        id: `engine-${this.#engines + 1}`,
        kind: "engine",
        address: this.relays.engines.getAddress(),
        failureDomain: `domain-${this.#engines % 7}`,
        region: `region-${this.#engines % 3}`,
        incarnation: 1,
        state: "live",
        models: [listModels()[this.#engines % listModels().length] ?? ""],
        service: "",
        checksFencing: true,
      });
    }
  }

  /** Returns the number of appends by all hosts so far. */
  countAppends(): number {
    return this.#standIns.log.countAppends();
  }

  /** Resolves once the node has applied all published changes. */
  async waitUntilInForce(): Promise<void> {
    const endMs = this.#clock.getMonotonicMs() + IN_FORCE_TIMEOUT_MS;
    const url = `http://127.0.0.1:${this.node.node.adminPort}/control/status`;
    const fetchRevision = async () => {
      const reply = await request(url);
      return (await reply.body.json() as { revision: number }).revision;
    };
    while (await fetchRevision() < this.changes.getRevision()) {
      if (this.#clock.getMonotonicMs() > endMs) {
        throw new DeadlineError(
          "node did not apply the newest published revision within 15 s",
        );
      }
      await this.#clock.sleep(IN_FORCE_POLL_INTERVAL_MS);
    }
  }

  /** Stops the node, the other hosts, the relays and the stand-ins. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.node.abort();
    await Promise.all(this.#others.map((other) => other.stop()));
    await Promise.all(Object.values(this.relays).map((relay) => relay.stop()));
    await this.#standIns.stop();
    rmSync(this.#folder, { recursive: true });
  }
}

function startPlatform(): Promise<StandIns> {
  return startStandIns({
    engines: 1,
    services: [],
    models: Object.fromEntries(listModels().map((model) => [model, 1])),
    log: { appendsPerSecond: APPENDS_PER_SECOND },
  });
}

async function startRelays(
  standIns: StandIns,
): Promise<Readonly<Record<SlopePort, CountingRelay>>> {
  const { log, hosts, weights, engines } = standIns.getAddresses();
  // One server simulates all engines, so only those added later are listed.
  standIns.hosts.removeEndpoint("engine-1");
  return {
    log: await CountingRelay.start(log),
    hosts: await CountingRelay.start(hosts),
    weights: await CountingRelay.start(weights),
    engines: await CountingRelay.start(engines[0] ?? ""),
  };
}

async function createNode(options: {
  readonly folder: string;
  readonly relays: Readonly<Record<SlopePort, CountingRelay>>;
  readonly others: readonly TrpcPeerNetwork[];
  readonly standIns: StandIns;
  readonly clock: SystemClock;
}): Promise<NodeProcess> {
  const [described] = await createLocalNodes(1);
  if (described === undefined) {
    throw new DeadlineError("found no free port for the measured node");
  }
  const seedPorts = options.others.slice(0, SEEDS).map((other) =>
    Number(other.getLocalMember().address.split(":").at(-1))
  );
  const settings = join(options.folder, "node.ini");
  const addresses = {
    ...options.standIns.getAddresses(),
    log: options.relays.log.getAddress(),
    hosts: options.relays.hosts.getAddress(),
    weights: options.relays.weights.getAddress(),
  };
  const host = findCandidate(
    options.others.map((other) => other.getLocalMember()),
  );
  const node = { ...described, host, failureDomain: "domain-a", seedPorts };
  const text = formatNodeSettings(node, addresses);
  writeFileSync(settings, text);
  const log = join(options.folder, "node.log");
  return new NodeProcess(described, { settings, log }, options.clock);
}
