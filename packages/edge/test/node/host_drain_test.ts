import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFixture } from "./platform_fixture.ts";

/** Under way when a stopping host closes its idle connections, 3.2 s after the stop has begun. */
const CALL_AFTER_MS = 2_000;
const CALL_TAKES_MS = 1_500;

/** The load balancer has removed a stopping host by then, which still accepts connections. */
const LATE_MS = 2_950;
/** Longer than the grace period of 8 s. */
const BEYOND_GRACE_MS = 9_000;

describe("EntryHost.stop", () => {
  const platform = new PlatformFixture(21_700);
  before(() => platform.startHosts(1));
  after(() => platform.stop());

  /** A stopped host still read requests on open connections, passed them on and exited before it answered. */
  it("resolves once no connection of a caller is open that could bring a request", async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const headers = {
      "X-Briarhill-Attempt-Id": "late",
      "X-Briarhill-Deadline-Ms": "3000",
    };
    const call = (id: string) =>
      platform.call(0, "POST", "/app/query", {
        headers: { ...headers, "X-Briarhill-Attempt-Id": id },
        body: "x",
        agent,
      });
    await call("early");
    const stopped = platform.stopHost(0);
    await sleep(CALL_AFTER_MS);
    platform.services.forEach((service) => service.delayMs = CALL_TAKES_MS);
    const response = await call("late");
    await stopped;
    assert.equal(response.status, 200);
    assert.equal(response.headers.connection, "close");
    assert.deepEqual(Object.keys(agent.freeSockets), []);
  });
});

describe("EntryHost.stop with requests that last beyond the grace period", () => {
  const platform = new PlatformFixture(21_800);
  before(() => platform.startHosts(1));
  after(() => platform.stop());

  const call = (id: string, path: string) =>
    platform.call(0, "POST", path, {
      headers: {
        "X-Briarhill-Attempt-Id": id,
        "X-Briarhill-Deadline-Ms": "20000",
      },
      body: "x",
    }).then(({ status, headers }) => ({ status, headers }), String);

  /** Requests that came late in the grace period were passed on, and cut without a response at its end. */
  it("refuses late ones at once, and answers all others before it resolves", async () => {
    platform.engines.forEach((engine) => engine.delayMs = BEYOND_GRACE_MS);
    const stopped = platform.stopHost(0);
    const early = call("early", "/streams/x");
    await sleep(LATE_MS);
    const late = await call("late", "/streams/x");
    const runs = platform.engines.flatMap((engine) => engine.arrivals);
    await stopped;
    const settled = await Promise.race([early, sleep(0, "not settled")]);
    assert.ok(typeof late === "object", String(late));
    assert.equal(late.status, 503);
    assert.ok(late.headers["retry-after"] !== undefined);
    assert.ok(typeof settled === "object", String(settled));
    assert.equal(settled.status, 502);
    assert.deepEqual(runs, ["early"]);
  });
});
