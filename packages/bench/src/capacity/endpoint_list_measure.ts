/**
 * Measures the cost of following the platform's endpoint list and the load
 * reports for one second, against the number of listed engines.
 * @module
 */
import { ManualClock } from "@briarhill/common/time/manual_clock";
import { PollingEndpointDirectory } from "@briarhill/node/endpoints/polling_endpoint_directory";
import type { PeerNetwork } from "@briarhill/node/peers/peer_network";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import { setTimeout } from "node:timers/promises";
import { type Mesh, MeshPeerNetwork } from "../control/mesh_peer_network.ts";
import { StandInProcess } from "../nodes/stand_in_process.ts";
import { createLocalContext } from "./local_context.ts";
import { RoleMeasure, type RoleState } from "./role_measure.ts";
import { TextHostList } from "./text_host_list.ts";

const HOSTS = 370;
const LIST_INTERVAL_MS = 1000;
const WARM_UP_LISTS = 10;
const MAX_EVENTS = 20;
/** Leaves enough time for the reports of one second to arrive. */
const SETTLE_MS = 50;
const MODELS = ["names-es"];

/** Measures the cost of following the endpoint list for one second. */
export class EndpointListMeasure extends RoleMeasure {
  override readonly role = "endpoint list";
  override readonly unit = "engines listed";
  override readonly sizes = [64, 1000, 4000, 12_000];
  override readonly target = {
    size: 12_000,
    eventsPerSecond: 1000 / LIST_INTERVAL_MS,
    isControl: true,
  };

  override countWarmUp(): number {
    return WARM_UP_LISTS;
  }

  override countEvents(_size: number, requestedEvents: number): number {
    return Math.min(requestedEvents, MAX_EVENTS);
  }

  override async buildState(size: number): Promise<RoleState> {
    const standIns = await StandInProcess.start();
    const { engines } = standIns.addresses;
    const clock = new ManualClock();
    const hostList = new TextHostList(createEndpoints(size, engines));
    const context = { ...createLocalContext("entry-0", clock), hostList };
    const directory = new PollingEndpointDirectory(context, createPeers());
    const abortController = new AbortController();
    const runPromise = directory.run(abortController.signal);
    const handleEvent = async () => {
      clock.advance(LIST_INTERVAL_MS);
      await setTimeout(SETTLE_MS);
      return hostList.takeReadBytes();
    };
    const stop = async () => {
      abortController.abort();
      await runPromise;
      await standIns.stop();
    };
    return { handleEvent, held: directory, stop };
  }
}

/** Creates idle peer links, as their cost is measured separately. */
function createPeers(): PeerNetwork {
  const mesh: Mesh = new Map();
  const clock = new ManualClock();
  const localNetwork = new MeshPeerNetwork("entry-0", { mesh, clock });
  for (let host = 1; host < HOSTS; host++) {
    new MeshPeerNetwork(`entry-${host}`, { mesh, clock });
  }
  return localNetwork;
}

function createEndpoints(
  count: number,
  addresses: readonly string[],
): readonly ListedEndpoint[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `engine-${index}`,
    kind: "engine",
    address: addresses[index % addresses.length] ?? "",
    failureDomain: `domain-${index % 7}`,
    region: `region-${index % 3}`,
    incarnation: 1,
    state: "live",
    models: MODELS,
    service: "",
    checksFencing: true,
  }));
}
