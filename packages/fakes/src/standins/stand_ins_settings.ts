/**
 * Which stand-ins are started, and where.
 * @module
 */
import type { ModelName, WeightVersion } from "@briarhill/common/ids/ids";
import type { FakeEngineSettings } from "../engine/fake_engine_settings.ts";
import type { FakeLogSettings } from "../log/fake_log.ts";
import type { FakeServiceSettings } from "../service/fake_service.ts";

/** Which stand-ins are started, and where. */
export interface StandInsSettings {
  /** The first of the ports, in the order log, hosts, weights, scorer, engines, services; 0 lets the machine pick. */
  readonly firstPort: number;
  readonly engines: number;
  /** The name of the service of each service endpoint. */
  readonly services: readonly string[];
  /** Endpoints are spread over these in turn. */
  readonly failureDomains: readonly string[];
  readonly region: string;
  readonly models: Readonly<Record<ModelName, WeightVersion>>;
  readonly hostListLagMs: number;
  readonly fetchesPerSecond: number;
  /** Every so many engines one ignores fencing numbers; 0 for none. */
  readonly unfencedEvery: number;
  readonly log: Partial<FakeLogSettings>;
  readonly engine: Partial<FakeEngineSettings>;
  readonly service: Partial<FakeServiceSettings>;
}

/** What is started where nothing else is asked for. */
export const DEFAULT_STAND_INS_SETTINGS: StandInsSettings = {
  firstPort: 0,
  engines: 3,
  services: ["register"],
  failureDomains: ["domain-a", "domain-b", "domain-c"],
  region: "region-a",
  models: { "names-es": 1 },
  hostListLagMs: 500,
  fetchesPerSecond: 10,
  unfencedEvery: 3,
  log: {},
  engine: {},
  service: {},
};
