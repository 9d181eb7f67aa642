import { Logger } from "@briarhill/common/logging/logger";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { ManualClock } from "@briarhill/common/time/manual_clock";
import { createHostSettings } from "@briarhill/fakes/platform/host_settings_text";
import { OPEN_LOT_TOPIC } from "@briarhill/platform/names/topics";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate as runPendingTasks } from "node:timers/promises";
import { PeerList } from "../../src/peers/peer_list.ts";
import { parseHostSettings } from "../../src/settings/host_settings.ts";
import { InMemoryLog } from "../log/in_memory_log.ts";

const LOCAL_IP = "127.0.0.2";
const OTHER_IP = "127.0.0.3";
/** Longer than the maximum delay of the first refresh and of each later one. */
const MAX_REFRESH_MS = 8_000;
const SUSPICION_MS = 3_000;

/** Creates a list that has read the owners of the first shards. */
async function createPeers(...owners: readonly string[]) {
  const clock = new ManualClock(1_000);
  const log = new InMemoryLog(clock);
  log.holders = owners.map((member, partition) => ({
    partition: { topic: OPEN_LOT_TOPIC, partition },
    member,
  }));
  const text = createHostSettings({
    name: "host-0",
    ip: LOCAL_IP,
    store: "127.0.0.1:9100",
    port: 9_101,
  });
  const peers = new PeerList({
    settings: parseHostSettings("host.ini", text),
    log,
    clock,
    logger: Logger.create({ host: "test" }),
    random: new SeededRandom(1),
  });
  peers.start();
  await advance(clock, MAX_REFRESH_MS);
  return { clock, log, peers };
}

async function advance(clock: ManualClock, byMs: number): Promise<void> {
  clock.advance(byMs);
  await runPendingTasks();
}

describe("PeerList.getShardOwner", () => {
  it("returns the owner of a shard, and undefined for this host and an unknown owner", async () => {
    const { peers } = await createPeers(OTHER_IP, LOCAL_IP);
    assert.equal(peers.getShardOwner(0)?.hostname, OTHER_IP);
    assert.equal(peers.getShardOwner(1), undefined);
    assert.equal(peers.getShardOwner(2), undefined);
    peers.stop();
  });

  it("returns no owner that didn't answer until its suspicion expires", async () => {
    const { clock, peers } = await createPeers(OTHER_IP);
    peers.addFailure({ hostname: OTHER_IP, port: 1 });
    assert.equal(peers.getShardOwner(0), undefined);
    await advance(clock, SUSPICION_MS + 1);
    assert.equal(peers.getShardOwner(0)?.hostname, OTHER_IP);
    peers.stop();
  });

  it("refreshes the list at once if an owner didn't answer", async () => {
    const { log, peers } = await createPeers(OTHER_IP);
    log.holders = log.holders.map((owner) => ({
      ...owner,
      member: "127.0.0.4",
    }));
    peers.addFailure({ hostname: OTHER_IP, port: 1 });
    await runPendingTasks();
    assert.equal(peers.getShardOwner(0)?.hostname, "127.0.0.4");
    peers.stop();
  });

  it("retains the list while the log is unavailable", async () => {
    const { clock, log, peers } = await createPeers(OTHER_IP);
    log.isUnreachable = true;
    await advance(clock, MAX_REFRESH_MS);
    assert.equal(peers.getShardOwner(0)?.hostname, OTHER_IP);
    peers.stop();
  });
});
