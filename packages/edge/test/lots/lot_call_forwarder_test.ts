import { LOT_TOPIC } from "@briarhill/platform/names/topics";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFixture } from "../node/platform_fixture.ts";

const HOSTS = 3;
const LOTS = ["lot-a", "lot-b", "lot-c", "lot-d", "lot-e", "lot-f"];
const SAMPLES = 2;
/** Longer than a host takes to read the list of partition holders for the first time, in milliseconds. */
const HOLDER_LIST_DELAY_MS = 2_300;

describe("LotCallForwarder.forwardCall", () => {
  const platform = new PlatformFixture(21_330);
  before(async () => {
    await platform.startHosts(HOSTS);
    await sleep(HOLDER_LIST_DELAY_MS);
  });
  after(() => platform.stopHosts());

  async function checkLot(
    host: number,
    lot: string,
    results: unknown,
  ): Promise<void> {
    assert.deepEqual(await platform.readResults(host, lot), results);
    const read = `/briarhill/items/${lot}?id=${lot}-1`;
    const body = await platform.call(host, "GET", read);
    assert.equal(body.body.toString(), "prompt 1");
    const end = `/briarhill/lots/${lot}`;
    assert.equal((await platform.call(host, "DELETE", end)).status, 200);
  }

  it("answers calls on hosts that don't hold the lot without reading its partition", async () => {
    const results = new Map<string, unknown>();
    for (const lot of LOTS) {
      assert.equal((await platform.sendLot(0, lot, SAMPLES)).status, 202);
      results.set(lot, await platform.waitResults(0, lot, SAMPLES));
    }
    const before = platform.store.countSnapshotReads(LOT_TOPIC);
    for (const lot of LOTS) {
      for (let host = 0; host < HOSTS; host++) {
        await checkLot(host, lot, results.get(lot));
      }
    }
    const missing = await platform.call(1, "GET", "/briarhill/lots/lot-x");
    assert.equal(missing.status, 404);
    assert.equal(platform.store.countSnapshotReads(LOT_TOPIC), before);
  });
});
