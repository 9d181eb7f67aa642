import { ManualClock } from "@briarhill/common/time/manual_clock";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PassThrough } from "node:stream";
import { CallBody } from "../../src/services/call_body.ts";

const LIMITS = { maxBytes: 1_000_000, receiveTimeoutMs: 1000 };

async function readText(body: CallBody): Promise<string> {
  let text = "";
  for await (const chunk of body.read()) {
    text += new TextDecoder().decode(chunk);
  }
  return text;
}

describe("CallBody.read", () => {
  async function doAttemptsTest(chunk: string): Promise<void> {
    const source = new PassThrough();
    const body = new CallBody(source, LIMITS, new ManualClock());
    source.write("a");
    const first = body.read()[Symbol.asyncIterator]();
    await first.next();
    void first.next();
    const second = readText(body);
    await new Promise((resolve) => setImmediate(resolve));
    source.write(chunk);
    await new Promise((resolve) => setImmediate(resolve));
    source.end("c");
    assert.equal(await second, `a${chunk}c`);
  }

  it("yields the chunk that the previous attempt was waiting for to the next attempt", async () => {
    await doAttemptsTest("b");
    await doAttemptsTest("b".repeat(100_000));
  });

  it("streams a body that is too large to be replayed without retaining it", async () => {
    const source = new PassThrough();
    const body = new CallBody(source, LIMITS, new ManualClock());
    const text = readText(body);
    for (let index = 0; index < 10; index++) {
      source.write("x".repeat(16_384));
      await new Promise((resolve) => setImmediate(resolve));
    }
    source.end();
    assert.equal((await text).length, 163_840);
    assert.ok(!body.canReplay());
  });
});
