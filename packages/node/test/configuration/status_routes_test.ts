import { ManualClock } from "@briarhill/common/time/manual_clock";
import { FakeHostList } from "@briarhill/fakes/hosts/fake_host_list";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Readiness } from "../../src/admin/readiness.ts";
import { LogContractSource } from "../../src/configuration/log_contract_source.ts";
import { StatusRoutes } from "../../src/configuration/status_routes.ts";
import { PollingEndpointDirectory } from "../../src/endpoints/polling_endpoint_directory.ts";
import { LogLeaseManager } from "../../src/leases/log_lease_manager.ts";
import { NodeLifecycle } from "../../src/stops/node_lifecycle.ts";
import {
  CONFIGURATION_STREAM,
  encodeConfigurationRecord,
} from "@briarhill/control/configuration/configuration_record";
import {
  advance,
  createContext,
  createListing,
} from "../fixtures/call_fixtures.ts";
import { PeerHub } from "../fixtures/peer_hub.ts";

const POLL_INTERVAL_MS = 6_000;

describe("StatusRoutes.getStatus", () => {
  function createNode() {
    const clock = new ManualClock(1000);
    const hostList = new FakeHostList(clock);
    const context = createContext(clock, { hostList });
    const peers = new PeerHub().add("host-1");
    const directory = new PollingEndpointDirectory(context, peers);
    const leases = new LogLeaseManager(context);
    const contracts = new LogContractSource(context, { leases });
    const lifecycle = new NodeLifecycle(clock, context.logger);
    const readiness = new Readiness({ contracts, directory, lifecycle });
    const routes = new StatusRoutes(context, { contracts, readiness });
    const publishDrain = (name: string, sequence: number) =>
      context.log.append(
        CONFIGURATION_STREAM,
        encodeConfigurationRecord({
          writer: "operator",
          session: "s",
          sequence,
          kind: "drain",
          basedOn: -1,
          target: { kind: "endpoint", name },
          draining: true,
        }),
      );
    const stopping = new AbortController();
    void directory.run(stopping.signal);
    void contracts.run(stopping.signal);
    return { clock, hostList, lifecycle, routes, publishDrain, stopping };
  }

  it("reports ready only with configuration, endpoints and accepted work", async () => {
    const node = createNode();
    const { clock, hostList, lifecycle, routes, publishDrain } = node;
    const isReady = () => routes.getStatus().ready;
    await publishDrain("engine-9", 0);
    lifecycle.setAccepting();
    await advance(clock, POLL_INTERVAL_MS);
    assert.equal(routes.getStatus().revision, 0);
    assert.equal(isReady(), false, "before any endpoint is listed");
    hostList.setEndpoint(createListing("engine-1"));
    await advance(clock, POLL_INTERVAL_MS);
    assert.equal(isReady(), true);
    hostList.removeEndpoint("engine-1");
    await advance(clock, POLL_INTERVAL_MS);
    assert.equal(
      isReady(),
      true,
      "shortly after the endpoint list became empty",
    );
    await lifecycle.runDrain(1);
    assert.equal(isReady(), false, "during a drain");
    node.stopping.abort();
  });

  it("reports a different hash for each revision", async () => {
    const { clock, routes, publishDrain, stopping } = createNode();
    const hashes = new Set<string>();
    for (const sequence of [0, 1, 2]) {
      await publishDrain(`engine-${sequence}`, sequence);
      await advance(clock, POLL_INTERVAL_MS);
      hashes.add(routes.getStatus().sha256);
      hashes.add(routes.getStatus().sha256);
    }
    assert.equal(hashes.size, 3);
    stopping.abort();
  });
});
