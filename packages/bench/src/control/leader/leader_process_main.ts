/**
 * Runs a process that only leads weight rollouts.
 * @module
 */
import { Logger } from "@briarhill/common/logging/logger";
import type { ContractSource } from "@briarhill/node/configuration/contract_source";
import { DirectoryEntry } from "@briarhill/node/endpoints/directory_entry";
import type { EndpointDirectory } from "@briarhill/node/endpoints/endpoint_directory";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { HttpEndpointClients } from "@briarhill/node/endpoints/http_endpoint_clients";
import type { LeaseManager } from "@briarhill/node/leases/lease_manager";
import type { NodeContext } from "@briarhill/node/node/node_context";
import { WeightLeader } from "@briarhill/node/weights/weight_leader";
import process from "node:process";
import { createInterface } from "node:readline";
import { LED_MODEL } from "./order_server.ts";

const FENCING = 7;

const [address = "", engines = "0", fetchesPerSecond = "0"] = process.argv
  .slice(2);
const clients = new HttpEndpointClients(new SystemClock());
const entries = new Map(
  Array.from({ length: Number(engines) }, (_, index) => {
    const id = `engine-${index}`;
    const listed = {
      id,
      kind: "engine" as const,
      address: `${address}/${id}`,
      failureDomain: "domain-a",
      region: "region-a",
      incarnation: 1,
      state: "live" as const,
      models: [LED_MODEL],
      service: "",
      checksFencing: true,
    };
    return [id, new DirectoryEntry(listed, false)] as const;
  }),
);
const directory: Partial<EndpointDirectory> = {
  getEndpoints: () => [...entries.values()].map(({ known }) => known),
  getEngine: (id) => entries.get(id)?.getEngine(clients),
};
const leases: LeaseManager = {
  seek: () => {},
  release: () => Promise.resolve(),
  getFencing: () => FENCING,
  isFirstHolder: () => true,
};
const contracts: Partial<ContractSource> = { getContracts: () => [] };
const context: Partial<NodeContext> = {
  clock: new SystemClock(),
  logger: Logger.create({}),
  weightStore: {
    getLimits: () =>
      Promise.resolve({ fetchesPerSecond: Number(fetchesPerSecond) }),
  } as unknown as NodeContext["weightStore"],
};
const leader = new WeightLeader(context as NodeContext, {
  directory: directory as EndpointDirectory,
  leases,
  contracts: contracts as ContractSource,
});
void leader.run(new AbortController().signal);
process.stdout.write("started\n");
createInterface({ input: process.stdin })
  .on("line", (line) =>
    leader.handleAnnounced({
      model: LED_MODEL,
      version: Number(line),
      announcedAtMs: 0,
    }))
  .on("close", () => process.exit(0));
