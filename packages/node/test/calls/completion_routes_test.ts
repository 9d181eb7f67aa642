import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { advance } from "../fixtures/call_fixtures.ts";
import { createEdgeBench, STREAM_BODY } from "../fixtures/edge_bench.ts";
import { PART_BYTES } from "../fixtures/scripted_service.ts";
import {
  collectResponse,
  doLimitTest,
  doSlowTest,
  flush,
} from "../fixtures/slow_callers.ts";

const TEST_TIMEOUT_MS = 60_000;
/** Loopback sockets buffer up to about 6 MB of unread data. */
const MAX_UNREAD_BYTES = 16_777_216;

describe("callers of completions", { timeout: TEST_TIMEOUT_MS }, () => {
  it("are refused when the JSON body has not arrived completely within 15 s", async () => {
    const limitMs = 15_000;
    await doSlowTest("/v1/completions", { sendIntervalMs: 4000, limitMs });
  });

  it("are disconnected after 30 s without reading, with bounded buffering until then", async () => {
    const bench = await createEdgeBench();
    const socket = await bench.open("/v1/completions", STREAM_BODY.length);
    socket.pause();
    socket.write(STREAM_BODY);
    await flush();
    const { chunks } = bench.generator;
    assert.ok(chunks > 0 && chunks * PART_BYTES < MAX_UNREAD_BYTES);
    await advance(bench.clock, 25_000);
    await flush();
    assert.equal(bench.generator.chunks, chunks);
    assert.ok(!bench.generator.isEnded);
    await advance(bench.clock, 10_000);
    await flush();
    assert.ok(bench.generator.isEnded);
    const received = collectResponse(socket);
    await flush();
    assert.ok(received.isClosed);
    assert.ok(!received.text.includes("[DONE]"));
    assert.equal(bench.listener.countOpenExchanges(), 0);
    await bench.close();
  });

  it("are refused beyond the limit on open calls and accepted after a call has closed", async () => {
    await doLimitTest("/v1/completions", STREAM_BODY);
  });
});
