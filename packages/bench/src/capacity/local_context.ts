/**
 * Creates a node context for components that are measured in isolation.
 * @module
 */
import { Logger } from "@briarhill/common/logging/logger";
import { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import { FakeHostList } from "@briarhill/fakes/hosts/fake_host_list";
import { FakeLog } from "@briarhill/fakes/log/fake_log";
import { FakeWeightStore } from "@briarhill/fakes/weights/fake_weight_store";
import { HttpEndpointClients } from "@briarhill/node/endpoints/http_endpoint_clients";
import type { NodeContext } from "@briarhill/node/node/node_context";
import { parseNodeSettings } from "@briarhill/node/settings/node_settings";
import { formatNodeSettings } from "../nodes/node_settings_text.ts";

const NO_ADDRESS = "http://127.0.0.1:1";
const FETCHES_PER_SECOND = 1000;

/**
 * Returns the context of a node, with in-process stand-ins for its ports.
 *
 * @example
 * ```ts
 * const context = createLocalContext("entry-1", new ManualClock());
 * ```
 * @param host - The host of the node.
 * @param clock - The clock of the node.
 */
export function createLocalContext(host: string, clock: Clock): NodeContext {
  const text = formatNodeSettings(createNode(host), {
    log: NO_ADDRESS,
    hosts: NO_ADDRESS,
    weights: NO_ADDRESS,
    scorer: NO_ADDRESS,
    engines: [],
    services: [],
  });
  return {
    settings: parseNodeSettings(`${host}.ini`, text),
    clock,
    random: new SeededRandom(1),
    logger: Logger.create({ host }),
    histograms: new HistogramRegistry(),
    log: new FakeLog(clock),
    hostList: new FakeHostList(clock, 0),
    weightStore: new FakeWeightStore(clock, FETCHES_PER_SECOND),
    clients: new HttpEndpointClients(clock),
  };
}

function createNode(host: string) {
  return {
    host,
    region: "region-a",
    failureDomain: "domain-a",
    callersPort: 0,
    peersPort: 0,
    adminPort: 0,
    seedPorts: [],
  };
}
