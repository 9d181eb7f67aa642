/**
 * A whole set of stand-ins on loopback.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import { SystemClock } from "@briarhill/common/time/system_clock";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import { FakeEngine } from "../engine/fake_engine.ts";
import { FakeEngineServer } from "../engine/fake_engine_server.ts";
import { FakeHostList } from "../hosts/fake_host_list.ts";
import { FakeHostListServer } from "../hosts/fake_host_list_server.ts";
import type { FakeServer } from "../http/fake_server.ts";
import { FakeLog } from "../log/fake_log.ts";
import { FakeLogServer } from "../log/fake_log_server.ts";
import { FakeScorer } from "../scorer/fake_scorer.ts";
import { FakeScorerServer } from "../scorer/fake_scorer_server.ts";
import { FakeService } from "../service/fake_service.ts";
import { FakeServiceServer } from "../service/fake_service_server.ts";
import { FakeWeightStore } from "../weights/fake_weight_store.ts";
import { FakeWeightStoreServer } from "../weights/fake_weight_store_server.ts";
import {
  DEFAULT_STAND_INS_SETTINGS,
  type StandInsSettings,
} from "./stand_ins_settings.ts";

const FIXED_SERVERS = 4;

/** One engine of the set. */
export interface EngineStandIn {
  readonly id: EndpointId;
  readonly engine: FakeEngine;
  readonly server: FakeServer;
}

/** One service endpoint of the set. */
export interface ServiceStandIn {
  readonly id: EndpointId;
  readonly name: string;
  readonly service: FakeService;
  readonly server: FakeServer;
}

/** Where the stand-ins listen. */
export interface StandInAddresses {
  readonly log: string;
  readonly hosts: string;
  readonly weights: string;
  readonly scorer: string;
  readonly engines: readonly string[];
  readonly services: readonly string[];
}

/** A whole set of stand-ins; all parts are open to tests. */
export class StandIns {
  readonly log: FakeLog;
  readonly logServer: FakeServer;
  readonly hosts: FakeHostList;
  readonly hostsServer: FakeServer;
  readonly weights: FakeWeightStore;
  readonly weightsServer: FakeServer;
  readonly scorer: FakeScorer;
  readonly scorerServer: FakeServer;
  readonly engines: readonly EngineStandIn[];
  readonly services: readonly ServiceStandIn[];
  readonly #settings: StandInsSettings;

  constructor(
    settings: Partial<StandInsSettings> = {},
    clock: Clock = new SystemClock(),
  ) {
    this.#settings = { ...DEFAULT_STAND_INS_SETTINGS, ...settings };
    const { hostListLagMs, fetchesPerSecond } = this.#settings;
    this.log = new FakeLog(clock, this.#settings.log);
    this.logServer = new FakeLogServer(this.log, this.#getPort(0));
    this.hosts = new FakeHostList(clock, hostListLagMs);
    this.hostsServer = new FakeHostListServer(this.hosts, this.#getPort(1));
    this.weights = new FakeWeightStore(clock, fetchesPerSecond);
    this.weightsServer = new FakeWeightStoreServer(
      this.weights,
      this.#getPort(2),
    );
    this.scorer = new FakeScorer(clock);
    this.scorerServer = new FakeScorerServer(this.scorer, this.#getPort(3));
    this.engines = this.#createEngines(clock);
    this.services = this.#createServices(clock);
  }

  /** Starts all servers and lists the endpoints. */
  async start(): Promise<void> {
    for (const [model, version] of Object.entries(this.#settings.models)) {
      this.weights.addVersion(model, version);
    }
    await Promise.all(this.#getServers().map((server) => server.start()));
    for (const endpoint of this.#listEndpoints()) {
      this.hosts.setEndpoint(endpoint);
    }
  }

  /** Stops all servers. */
  async stop(): Promise<void> {
    await Promise.all(this.#getServers().map((server) => server.stop()));
    this.engines.forEach(({ engine }) => engine.stop());
  }

  /** Returns where the stand-ins listen. */
  getAddresses(): StandInAddresses {
    return {
      log: this.logServer.getAddress(),
      hosts: this.hostsServer.getAddress(),
      weights: this.weightsServer.getAddress(),
      scorer: this.scorerServer.getAddress(),
      engines: this.engines.map(({ server }) => server.getAddress()),
      services: this.services.map(({ server }) => server.getAddress()),
    };
  }

  #createEngines(clock: Clock): readonly EngineStandIn[] {
    const { engines, models, unfencedEvery, engine } = this.#settings;
    return Array.from({ length: engines }, (_, index) => {
      const id = `engine-${index + 1}`;
      const isUnfenced = unfencedEvery > 0 &&
        (index + 1) % unfencedEvery === 0;
      const settings = {
        id,
        models,
        seed: index + 1,
        checksFencing: !isUnfenced,
        ...engine,
      };
      const fake = new FakeEngine({ clock, store: this.weights }, settings);
      const port = this.#getPort(FIXED_SERVERS + index);
      return { id, engine: fake, server: new FakeEngineServer(fake, port) };
    });
  }

  #createServices(clock: Clock): readonly ServiceStandIn[] {
    return this.#settings.services.map((name, index) => {
      const service = new FakeService(clock, this.#settings.service);
      const port = this.#getPort(FIXED_SERVERS + this.engines.length + index);
      const server = new FakeServiceServer(service, port);
      return { id: `${name}-${index + 1}`, name, service, server };
    });
  }

  #listEndpoints(): readonly ListedEndpoint[] {
    const engines = this.engines.map(({ id, engine, server }, index) => ({
      ...this.#createListing(id, server, index),
      kind: "engine" as const,
      models: Object.keys(this.#settings.models),
      service: "",
      checksFencing: engine.settings.checksFencing,
    }));
    const services = this.services.map(({ id, name, server }, index) => ({
      ...this.#createListing(id, server, index),
      kind: "service" as const,
      models: [],
      service: name,
      checksFencing: false,
    }));
    return [...engines, ...services];
  }

  #createListing(id: EndpointId, server: FakeServer, index: number) {
    const { failureDomains, region } = this.#settings;
    const failureDomain = failureDomains[index % failureDomains.length] ?? "";
    const address = server.getAddress();
    const state = "live" as const;
    return { id, address, failureDomain, region, incarnation: 1, state };
  }

  #getServers(): readonly FakeServer[] {
    return [
      this.logServer,
      this.hostsServer,
      this.weightsServer,
      this.scorerServer,
      ...this.engines.map(({ server }) => server),
      ...this.services.map(({ server }) => server),
    ];
  }

  #getPort(index: number): number {
    const { firstPort } = this.#settings;
    return firstPort === 0 ? 0 : firstPort + index;
  }
}

/**
 * Starts a whole set of stand-ins on loopback.
 *
 * @example
 * ```ts
 * const standIns = await startStandIns({ engines: 3 });
 * await standIns.stop();
 * ```
 * @param settings - What to start; all else as in the defaults.
 */
export async function startStandIns(
  settings: Partial<StandInsSettings> = {},
): Promise<StandIns> {
  const standIns = new StandIns(settings);
  await standIns.start();
  return standIns;
}
