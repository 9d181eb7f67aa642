import { formatText } from "@briarhill/fakes/platform/event_text";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFixture } from "../node/platform_fixture.ts";

const SAMPLES = 12;
const EVENTS = 8;
/** The time after which samples have some of their events, in milliseconds. */
const BEGUN_MS = 500;

/**
 * Streams of engines break off, and the next attempt at a sample goes on at any engine
 * of its model: texts of two software versions are joined in one result.
 */
describe("LotRunner with engines of two software versions", () => {
  const platform = new PlatformFixture(23_300);
  before(async () => {
    const [, newer] = platform.engines;
    assert.ok(newer !== undefined);
    newer.softwareVersion = "v2";
    platform.engines.forEach((engine) => engine.breakAfter = 2);
    await platform.startHosts(2);
  });
  after(() => platform.stopHosts());

  const texts = ["v1", "v2"].map((version) => formatText(version, EVENTS));

  async function runLot(lot: string): Promise<readonly string[]> {
    await platform.sendLot(0, lot, SAMPLES);
    const results = await platform.waitResults(1, lot, SAMPLES);
    return results.map(({ output }) => output);
  }

  it("joins no text of two versions in a result", async () => {
    const outputs = await runLot("mixed");
    assert.deepEqual(outputs.filter((text) => !texts.includes(text)), []);
    assert.deepEqual([...new Set(outputs)].sort(), texts.toSorted());
  });

  it("generates samples again whose version is gone", async () => {
    platform.engines.forEach((engine) => engine.eventDelayMs = 150);
    const outputs = runLot("gone");
    await sleep(BEGUN_MS);
    const [older] = platform.engines;
    assert.ok(older !== undefined);
    const restarted = older.crash.killEndpoint(older);
    older.softwareVersion = "v2";
    await restarted;
    platform.engines.forEach((engine) => engine.eventDelayMs = 0);
    const mixed = (await outputs).filter((text) => !texts.includes(text));
    assert.deepEqual(mixed, []);
  });
});
