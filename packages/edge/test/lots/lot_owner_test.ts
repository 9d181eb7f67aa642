import { setLogWriter } from "@briarhill/common/logging/logger";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { PlatformFixture } from "../node/platform_fixture.ts";

const lines: string[] = [];
setLogWriter((line) => lines.push(line));

const SAMPLES = 6;
const EVENT_DELAY_MS = 150;
/** Time after which each sample has about three events, in milliseconds. */
const MIDWAY_MS = 550;

describe("LotOwner", () => {
  const platform = new PlatformFixture(21_500);
  before(async () => {
    await platform.startHosts(2);
    platform.engines.forEach((engine) => engine.eventDelayMs = EVENT_DELAY_MS);
  });
  after(() => platform.stopHosts());

  function listAttempts(lot: string) {
    return platform.engines.flatMap(({ runs }) => runs)
      .filter(({ attemptId }) => attemptId.startsWith(`${lot}-`));
  }

  async function startLot(lot: string): Promise<void> {
    assert.equal((await platform.sendLot(0, lot, SAMPLES)).status, 202);
    await platform.waitFor(() =>
      Promise.resolve(listAttempts(lot).length === SAMPLES)
    );
    await new Promise((resolve) => setTimeout(resolve, MIDWAY_MS));
  }

  async function checkResults(lot: string): Promise<void> {
    const results = await platform.waitResults(0, lot, SAMPLES);
    results.forEach(({ output }) =>
      assert.equal(output, platform.completeText)
    );
  }

  it("continues its lots without new attempts after its shards are assigned to other hosts", async () => {
    await startLot("lot-a");
    for (let round = 0; round < 3; round++) {
      platform.store.assignAllPartitions();
      await new Promise((resolve) => setTimeout(resolve, 150));
    }
    await checkResults("lot-a");
    assert.equal(listAttempts("lot-a").length, SAMPLES);
    const started = lines.filter((line) =>
      line.includes('"lot-started"') && line.includes('"lot-a"')
    );
    assert.equal(started.length, 1);
  });

  it("resumes its lots on another host from the generated events when it stops", async () => {
    await startLot("lot-b");
    const stopped = platform.stopOwner("lot-b");
    await checkResults("lot-b");
    await stopped;
    const attempts = listAttempts("lot-b");
    assert.equal(attempts.length, 2 * SAMPLES);
    const resumed = attempts.filter(({ fromEvent }) => fromEvent >= 2);
    assert.equal(resumed.length, SAMPLES, JSON.stringify(attempts));
  });
});
