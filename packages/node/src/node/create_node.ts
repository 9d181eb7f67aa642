/**
 * Creates a node with the production implementations of all ports.
 * @module
 */
import { Logger } from "@briarhill/common/logging/logger";
import { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { HttpHostList } from "@briarhill/ports/hosts/http_host_list";
import { HttpLogService } from "@briarhill/ports/log/http_log_service";
import { HttpWeightStore } from "@briarhill/ports/weights/http_weight_store";
import { randomInt } from "node:crypto";
import { HttpEndpointClients } from "../endpoints/http_endpoint_clients.ts";
import type { NodeSettings } from "../settings/node_settings.ts";
import { BriarhillNode } from "./briarhill_node.ts";

const MAX_SEED = 2 ** 31;

/**
 * Creates a node that uses the platform's services and endpoints over HTTP.
 *
 * @example
 * ```ts
 * const node = createNode(readSettingsFile("node.ini"));
 * await node.start();
 * ```
 * @param settings - The node's settings.
 */
export function createNode(settings: NodeSettings): BriarhillNode {
  const clock = new SystemClock();
  return new BriarhillNode({
    settings,
    clock,
    random: new SeededRandom(randomInt(MAX_SEED)),
    logger: Logger.create({ host: settings.host }),
    histograms: new HistogramRegistry(),
    log: new HttpLogService(settings.platform.log),
    hostList: new HttpHostList(settings.platform.hostList),
    weightStore: new HttpWeightStore(settings.platform.weightStore),
    clients: new HttpEndpointClients(clock),
  });
}
