import { ManualClock } from "@briarhill/common/time/manual_clock";
import { SystemClock } from "@briarhill/common/time/system_clock";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import { HttpHostList } from "@briarhill/ports/hosts/http_host_list";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FakeHostList } from "../../src/hosts/fake_host_list.ts";
import { FakeHostListServer } from "../../src/hosts/fake_host_list_server.ts";
import { testPort } from "../contract_table.ts";

function createEndpoint(
  options: Partial<ListedEndpoint> = {},
): ListedEndpoint {
  return {
    id: "engine-1",
    kind: "engine",
    address: "http://127.0.0.1:9001",
    failureDomain: "domain-a",
    region: "region-a",
    incarnation: 1,
    state: "live",
    models: ["names-es"],
    service: "",
    checksFencing: true,
    ...options,
  };
}

testPort({
  createFake: () => new FakeHostList(new SystemClock()),
  createServer: (hosts) => new FakeHostListServer(hosts),
  createAdapter: (address, settings) => new HttpHostList(address, settings),
  listCalls: (hosts) => [{
    operation: "getEndpoints",
    prepare: (number) =>
      hosts.setEndpoint(createEndpoint({ incarnation: number })),
    call: (port) => port.getEndpoints(),
    getExpected: (number) => [createEndpoint({ incarnation: number })],
  }],
});

describe("FakeHostList", () => {
  it("shows changes after its lag, in their order", async () => {
    const clock = new ManualClock();
    const hosts = new FakeHostList(clock, 100);
    const getStates = async () =>
      (await hosts.getEndpoints()).map(({ state }) => state);
    hosts.setEndpoint(createEndpoint());
    clock.advance(60);
    hosts.setEndpoint(createEndpoint({ state: "leaving" }));
    assert.deepEqual(await getStates(), []);
    clock.advance(60);
    assert.deepEqual(await getStates(), ["live"]);
    clock.advance(60);
    assert.deepEqual(await getStates(), ["leaving"]);
    hosts.removeEndpoint("engine-1");
    clock.advance(100);
    assert.deepEqual(await getStates(), []);
  });
});

describe("HttpHostList", () => {
  it("fetches an unchanged list once, and a changed one again", async () => {
    const hosts = new FakeHostList(new SystemClock());
    hosts.setEndpoint(createEndpoint());
    const server = new FakeHostListServer(hosts);
    await server.start();
    const list = new HttpHostList(server.getAddress());
    try {
      const first = await list.getEndpoints();
      assert.equal(await list.getEndpoints(), first);
      hosts.setEndpoint(createEndpoint({ state: "leaving" }));
      const states = (await list.getEndpoints()).map(({ state }) => state);
      assert.deepEqual(states, ["leaving"]);
    } finally {
      await list.close();
      await server.stop();
    }
  });
});
