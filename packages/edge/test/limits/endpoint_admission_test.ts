import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFixture } from "../node/platform_fixture.ts";

const HOSTS = 8;
const RATE_PER_S = 2;
/** Time in which hosts may learn of a limit, one counted period, and some more, in milliseconds. */
const LOAD_MS = 8_000;
const CALL_INTERVAL_MS = 250;
/** Far below the deadline of a call; a busy machine delays timers. */
const AT_ONCE_MS = 700;
/** The time in which all hosts learn that a limit has ended, in milliseconds. */
const END_KNOWN_MS = 1_500;

/**
 * Each of many hosts sends an endpoint few requests, all hosts together far more
 * than the limit that it states. A host that only knows its own requests can't
 * notice.
 */
describe("EntryHost with endpoints that state a limit", () => {
  const platform = new PlatformFixture(22_700);
  before(() => platform.startHosts(HOSTS));
  after(() => platform.stopHosts());

  async function callHost(host: number, id: string) {
    const startMs = Date.now();
    const { status, headers } = await platform.call(host, "POST", "/app/q", {
      headers: {
        "X-Briarhill-Attempt-Id": id,
        "X-Briarhill-Deadline-Ms": "2000",
      },
      body: "question",
    });
    const retryAfterS = Number(headers["retry-after"] ?? 0);
    return { id, status, retryAfterS, tookMs: Date.now() - startMs };
  }

  /** Sends calls at every host, each a few milliseconds after the last one. */
  async function callAll(name: string, callsPerHost: number) {
    const answers = [];
    for (let call = 0; call < callsPerHost * HOSTS; call++) {
      answers.push(callHost(call % HOSTS, `${name}-${call}`));
      await sleep(5);
    }
    return await Promise.all(answers);
  }

  async function callAtIntervals(host: number) {
    const answers = [];
    for (let call = 0; call < LOAD_MS / CALL_INTERVAL_MS; call++) {
      answers.push(callHost(host, `load-${host}-${call}`));
      await sleep(CALL_INTERVAL_MS);
    }
    await Promise.all(answers);
  }

  it("sends no endpoint more than its limit allows, from all hosts together", async () => {
    platform.services.forEach(({ limit }) => limit.setLimit(`${RATE_PER_S}`));
    await Promise.all(
      Array.from({ length: HOSTS }, (_, host) => callAtIntervals(host)),
    );
    for (const { limit } of platform.services) {
      const largest = limit.overruns.toSorted((first, second) =>
        second.requests - first.requests
      )[0];
      assert.equal(largest, undefined, JSON.stringify(largest));
    }
  });

  it("leaves no endpoint idle below its limit while calls are rejected", () => {
    for (const { limit } of platform.services) {
      // The bucket starts empty, and hosts take a moment to learn of the limit.
      const expected = RATE_PER_S * (LOAD_MS / 1_000 - 2);
      assert.ok(limit.arrivals >= expected, `${limit.arrivals}`);
    }
  });

  it("rejects calls at once, with true statuses and retry delays of their own", async () => {
    const answers = await callAll("rejected", 4);
    const rejected = answers.filter(({ status }) => status === 503);
    assert.ok(rejected.length > answers.length / 2, `${rejected.length}`);
    const runs = new Set(
      platform.services.flatMap(({ runs }) =>
        runs.map(({ attemptId }) => attemptId)
      ),
    );
    for (const { id, tookMs, retryAfterS } of rejected) {
      assert.ok(tookMs < AT_ONCE_MS, `${id} took ${tookMs} ms`);
      assert.ok(retryAfterS > 0 && retryAfterS <= 10, `${retryAfterS}`);
      assert.ok(!runs.has(id), `${id} has run`);
    }
    const delays = rejected.map(({ retryAfterS }) => retryAfterS);
    const spread = Math.max(...delays) - Math.min(...delays);
    assert.ok(spread > 2, `all return within ${spread} s`);
  });

  /** Ends all limits and sends calls until each endpoint has served one; a host learns of the end from its response. */
  async function clearLimits() {
    platform.services.forEach(({ limit }) => limit.clearLimit());
    const countRuns = () => platform.services.map(({ runs }) => runs.length);
    const runsBefore = countRuns();
    await platform.waitFor(async () => {
      await callAll(`ends-${Date.now()}`, 1);
      return countRuns().every((runs, index) =>
        runs > (runsBefore[index] ?? 0)
      );
    });
    await sleep(END_KNOWN_MS);
  }

  it("serves all calls again once the limits have ended", async () => {
    await clearLimits();
    const answers = await callAll("ended", 4);
    assert.deepEqual(answers.filter(({ status }) => status !== 200), []);
  });

  it("serves all calls while one endpoint has no limit", async () => {
    platform.services[0]?.limit.setLimit("0");
    await callAll("mixed-first", 1);
    const answers = await callAll("mixed", 4);
    assert.deepEqual(answers.filter(({ status }) => status !== 200), []);
  });

  it("keeps no limit that is not a rate", async () => {
    await clearLimits();
    platform.services.forEach(({ limit }) => limit.setLimit("-1"));
    const answers = await callAll("invalid", 4);
    assert.deepEqual(answers.filter(({ status }) => status !== 200), []);
  });
});
