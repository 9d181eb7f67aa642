import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { advance } from "../fixtures/call_fixtures.ts";
import { createEdgeBench, DEADLINE_MS } from "../fixtures/edge_bench.ts";
import { PART_BYTES } from "../fixtures/scripted_service.ts";
import { doLimitTest, doSlowTest, flush } from "../fixtures/slow_callers.ts";

const TEST_TIMEOUT_MS = 60_000;
/** Loopback sockets buffer up to about 6 MB of unread data. */
const MAX_UNREAD_BYTES = 16_777_216;

describe("callers of services", { timeout: TEST_TIMEOUT_MS }, () => {
  it("are refused when the next chunk of the request body does not arrive within 10 s", async () => {
    await doSlowTest("/services/echo/x", {
      sendIntervalMs: TEST_TIMEOUT_MS,
      limitMs: 10_000,
    });
  });

  it("are refused at the deadline although each chunk arrives in time", async () => {
    const everyMs = 8000;
    await doSlowTest("/services/echo/x", {
      sendIntervalMs: everyMs,
      limitMs: DEADLINE_MS,
    });
  });

  it("are disconnected at the deadline when they do not read the response", async () => {
    const bench = await createEdgeBench();
    bench.service.parts = 1_000_000;
    const socket = await bench.open("/services/echo/x", 0);
    socket.pause();
    await flush();
    const { answerParts } = bench.service;
    assert.ok(answerParts * PART_BYTES < MAX_UNREAD_BYTES);
    await advance(bench.clock, DEADLINE_MS - 5000);
    await flush();
    assert.equal(bench.service.answerParts, answerParts);
    await advance(bench.clock, 10_000);
    await flush();
    assert.equal(bench.listener.countOpenExchanges(), 0);
    assert.ok(bench.service.isEnded);
    await bench.close();
  });

  it("are refused beyond the limit on open calls and accepted after a call has closed", async () => {
    await doLimitTest("/services/echo/x", "{}");
  });
});
