/**
 * The dependencies that all components of a node share.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import type { HostList } from "@briarhill/ports/hosts/host_list";
import type { LogService } from "@briarhill/ports/log/log_service";
import type { WeightStore } from "@briarhill/ports/weights/weight_store";
import type { NodeSettings } from "../settings/node_settings.ts";
import type { EndpointClients } from "../endpoints/endpoint_clients.ts";

/** The settings, utilities and ports that all components of a node share. */
export interface NodeContext {
  readonly settings: NodeSettings;
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly logger: Logger;
  readonly histograms: HistogramRegistry;
  readonly log: LogService;
  readonly hostList: HostList;
  readonly weightStore: WeightStore;
  readonly clients: EndpointClients;
}
