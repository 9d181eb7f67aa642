import { setLogWriter } from "@briarhill/common/logging/logger";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { PlatformFixture } from "../node/platform_fixture.ts";

const lines: string[] = [];
setLogWriter((line) => lines.push(line));

const SAMPLES = 6;
const EVENT_DELAY_MS = 150;
/** Some three events of each sample. */
const MIDWAY_MS = 550;

describe("LotOwner", () => {
  const platform = new PlatformFixture(21_500);
  before(async () => {
    await platform.startHosts(2);
    platform.engines.forEach((engine) => engine.eventDelayMs = EVENT_DELAY_MS);
  });
  after(() => platform.stopHosts());

  function listRuns(lot: string) {
    return platform.engines.flatMap(({ runs }) => runs)
      .filter(({ attemptId }) => attemptId.startsWith(`${lot}-`));
  }

  async function startLot(lot: string): Promise<void> {
    assert.equal((await platform.sendLot(0, lot, SAMPLES)).status, 202);
    await platform.waitFor(() =>
      Promise.resolve(listRuns(lot).length === SAMPLES)
    );
    await new Promise((resolve) => setTimeout(resolve, MIDWAY_MS));
  }

  async function checkResults(lot: string): Promise<void> {
    const results = await platform.waitResults(0, lot, SAMPLES);
    results.forEach(({ output }) => assert.equal(output, platform.wholeText));
  }

  it("goes on with its lots after its shards were assigned to others", async () => {
    await startLot("lot-a");
    for (let round = 0; round < 3; round++) {
      platform.store.assignAnew();
      await new Promise((resolve) => setTimeout(resolve, 150));
    }
    await checkResults("lot-a");
    assert.equal(listRuns("lot-a").length, SAMPLES);
    const begun = lines.filter((line) =>
      line.includes('"lot-begun"') && line.includes('"lot-a"')
    );
    assert.equal(begun.length, 1);
  });

  it("leaves its lots to another host at a stop, with all that it has generated", async () => {
    await startLot("lot-b");
    const stopped = platform.stopOwner("lot-b");
    await checkResults("lot-b");
    await stopped;
    const runs = listRuns("lot-b");
    assert.equal(runs.length, 2 * SAMPLES);
    const again = runs.filter(({ fromEvent }) => fromEvent >= 2);
    assert.equal(again.length, SAMPLES, JSON.stringify(runs));
  });
});
