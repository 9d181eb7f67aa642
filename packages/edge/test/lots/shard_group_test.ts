import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFixture } from "../node/platform_fixture.ts";

const HOSTS = 3;
const SAMPLES = 6;
const EVENT_DELAY_MS = 60;
/** The time in which a cut owner has to give its lots away, in milliseconds. */
const NOTICED_MS = 1_000;
/** The time in which another host has to finish a lot of short samples, in milliseconds. */
const FINISHED_MS = 3_000;

describe("ShardGroup at a host that has lost its links to all endpoints", () => {
  const platform = new PlatformFixture(24_300, HOSTS);
  before(async () => {
    await platform.startHosts(HOSTS);
    platform.engines.forEach((engine) => engine.eventDelayMs = EVENT_DELAY_MS);
  });
  after(() => platform.stopHosts());

  const countResults = async (host: number, lot: string) =>
    (await platform.readResults(host, lot)).length;

  async function startLot(host: number, lot: string): Promise<number> {
    assert.equal((await platform.sendLot(host, lot, SAMPLES)).status, 202);
    await platform.waitFor(() => Promise.resolve(platform.getOwner(lot) >= 0));
    return platform.getOwner(lot);
  }

  /** Lots are kept as long as the store is reached; a cut owner held them until its links were back. */
  it("gives its lots and its shards to hosts that reach the endpoints", async () => {
    const owner = await startLot(0, "lot-a");
    await sleep(2 * EVENT_DELAY_MS);
    platform.links.suspendHost(owner, "silent");
    await sleep(NOTICED_MS + FINISHED_MS);
    const other = (owner + 1) % HOSTS;
    const running = await countResults(other, "lot-a");
    const next = await startLot(other, "lot-b");
    await sleep(FINISHED_MS);
    const later = await countResults(other, "lot-b");
    await platform.links.resumeHost(owner);
    assert.equal(running, SAMPLES, "of the lot that was running");
    assert.notEqual(next, owner);
    assert.equal(later, SAMPLES, "of the next lot");
  });

  it("stays a member while all hosts have lost their links", async () => {
    await sleep(NOTICED_MS);
    for (let host = 0; host < HOSTS; host++) {
      platform.links.suspendHost(host, "silent");
    }
    const owner = await startLot(1, "lot-c");
    await sleep(NOTICED_MS);
    assert.ok(platform.getOwner("lot-c") >= 0, `first at ${owner}`);
    for (let host = 0; host < HOSTS; host++) {
      await platform.links.resumeHost(host);
    }
    await sleep(FINISHED_MS);
    assert.equal(await countResults(0, "lot-c"), SAMPLES);
  });
});
