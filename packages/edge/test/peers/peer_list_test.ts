import { Logger } from "@briarhill/common/logging/logger";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { ManualClock } from "@briarhill/common/time/manual_clock";
import { createHostSettings } from "@briarhill/fakes/platform/host_settings_text";
import { LOT_WORK_TOPIC } from "@briarhill/platform/names/topics";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate as settle } from "node:timers/promises";
import { PeerList } from "../../src/peers/peer_list.ts";
import { parseHostSettings } from "../../src/settings/host_settings.ts";
import { ScriptedLog } from "../log/scripted_log.ts";

const OWN_IP = "127.0.0.2";
const OTHER_IP = "127.0.0.3";
/** Above the time within which a list is first read, and read again. */
const READ_MS = 8_000;
const SUSPECT_MS = 3_000;

/** A list that has read who holds the first shards. */
async function createPeers(...holders: readonly string[]) {
  const clock = new ManualClock(1_000);
  const log = new ScriptedLog(clock);
  log.holders = holders.map((member, partition) => ({
    partition: { topic: LOT_WORK_TOPIC, partition },
    member,
  }));
  const text = createHostSettings({
    name: "host-0",
    ip: OWN_IP,
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
  await advance(clock, READ_MS);
  return { clock, log, peers };
}

async function advance(clock: ManualClock, byMs: number): Promise<void> {
  clock.advance(byMs);
  await settle();
}

describe("PeerList.getHolder", () => {
  it("names the holder of a shard, but neither this host nor an unknown one", async () => {
    const { peers } = await createPeers(OTHER_IP, OWN_IP);
    assert.equal(peers.getHolder(0)?.hostname, OTHER_IP);
    assert.equal(peers.getHolder(1), undefined);
    assert.equal(peers.getHolder(2), undefined);
    peers.stop();
  });

  it("passes over a holder that didn't answer, for a while", async () => {
    const { clock, peers } = await createPeers(OTHER_IP);
    peers.addFailure({ hostname: OTHER_IP, port: 1 });
    assert.equal(peers.getHolder(0), undefined);
    await advance(clock, SUSPECT_MS + 1);
    assert.equal(peers.getHolder(0)?.hostname, OTHER_IP);
    peers.stop();
  });

  it("reads the list again at once when a holder didn't answer", async () => {
    const { log, peers } = await createPeers(OTHER_IP);
    log.holders = log.holders.map((one) => ({ ...one, member: "127.0.0.4" }));
    peers.addFailure({ hostname: OTHER_IP, port: 1 });
    await settle();
    assert.equal(peers.getHolder(0)?.hostname, "127.0.0.4");
    peers.stop();
  });

  it("keeps the list while the log is away", async () => {
    const { clock, log, peers } = await createPeers(OTHER_IP);
    log.isAway = true;
    await advance(clock, READ_MS);
    assert.equal(peers.getHolder(0)?.hostname, OTHER_IP);
    peers.stop();
  });
});
