import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFixture } from "../node/platform_fixture.ts";

const HOSTS = 8;
const RATE_PER_S = 2;
/** Time in which hosts may learn of a limit, one counted period, and some more, in milliseconds. */
const LOAD_MS = 8_000;
const CALL_INTERVAL_MS = 250;

/**
 * Each of many hosts sends an endpoint few requests, all hosts together far more
 * than the limit that it states. A host that only knows its own requests can't
 * notice.
 */
describe("EntryHost with endpoints that state a limit", () => {
  const platform = new PlatformFixture(22_700);
  before(() => platform.startHosts(HOSTS));
  after(() => platform.stopHosts());

  async function callAtIntervals(host: number, name: string) {
    const answers = [];
    for (let call = 0; call < LOAD_MS / CALL_INTERVAL_MS; call++) {
      answers.push(platform.call(host, "POST", "/app/query", {
        headers: {
          "X-Briarhill-Attempt-Id": `${name}-${host}-${call}`,
          "X-Briarhill-Deadline-Ms": "2000",
        },
        body: "question",
      }));
      await sleep(CALL_INTERVAL_MS);
    }
    return await Promise.all(answers);
  }

  it("sends no endpoint more than its limit allows, from all hosts together", async () => {
    platform.services.forEach(({ limit }) => limit.setLimit(`${RATE_PER_S}`));
    await Promise.all(
      Array.from({ length: HOSTS }, (_, host) => callAtIntervals(host, "all")),
    );
    for (const { limit } of platform.services) {
      const largest = limit.overruns.toSorted((first, second) =>
        second.requests - first.requests
      )[0];
      assert.equal(largest, undefined, JSON.stringify(largest));
    }
  });
});
