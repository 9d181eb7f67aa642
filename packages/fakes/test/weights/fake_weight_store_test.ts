import { ManualClock } from "@briarhill/common/time/manual_clock";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { HttpWeightStore } from "@briarhill/ports/weights/http_weight_store";
import type { WeightStore } from "@briarhill/ports/weights/weight_store";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FakeWeightStore } from "../../src/weights/fake_weight_store.ts";
import { FakeWeightStoreServer } from "../../src/weights/fake_weight_store_server.ts";
import type { ContractCall } from "../contract_subject.ts";
import { testPort } from "../contract_table.ts";

const FETCHES_PER_SECOND = [10, 20, 30];

function createStore(): FakeWeightStore {
  const store = new FakeWeightStore(new SystemClock());
  for (const number of FETCHES_PER_SECOND.keys()) {
    store.addVersion(`names-${number}`, number + 2);
    store.addVersion(`names-${number}`, number + 1);
  }
  return store;
}

function listCalls(
  store: FakeWeightStore,
): readonly ContractCall<WeightStore>[] {
  return [{
    operation: "getVersions",
    call: (port, number) => port.getVersions(`names-${number}`),
    getExpected: (number) => [number + 1, number + 2],
  }, {
    operation: "getLimits",
    prepare: (number) =>
      store.setFetchesPerSecond(FETCHES_PER_SECOND[number] ?? 0),
    call: (port) => port.getLimits(),
    getExpected: (number) => ({
      fetchesPerSecond: FETCHES_PER_SECOND[number],
    }),
  }];
}

testPort({
  createFake: createStore,
  createServer: (store) => new FakeWeightStoreServer(store),
  createAdapter: (address, settings) => new HttpWeightStore(address, settings),
  listCalls,
});

describe("FakeWeightStore", () => {
  it("lets fetches through at its rate alone", async () => {
    const clock = new ManualClock();
    const store = new FakeWeightStore(clock, 2);
    store.addVersion("m", 1);
    let through = 0;
    for (let step = 0; step < 100; step++) {
      await store.fetch("m", 1).then(() => through++, () => undefined);
      clock.advance(50);
    }
    assert.equal(through, 2 + 9);
  });

  it("refuses a version that it doesn't hold", async () => {
    const store = new FakeWeightStore(new ManualClock());
    await assert.rejects(store.fetch("m", 1), { outcome: "not-run" });
  });
});
