import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import process from "node:process";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { ByteCollector } from "../../src/http/byte_collector.ts";

const CONNECTION_BUFFER_BYTES = 65_536;
const CHUNKS = 2_000;
const MAX_HELD_BYTES = 8 * CONNECTION_BUFFER_BYTES;

/** The time in which V8 frees unreferenced buffers after a collection, in milliseconds, as it does so on another thread. */
const SWEEP_MS = 50;

/** Returns the memory of buffers that are still referenced, in bytes. */
async function measureBufferBytes(): Promise<number> {
  setFlagsFromString("--expose_gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  collectGarbage();
  await sleep(SWEEP_MS);
  collectGarbage();
  await sleep(SWEEP_MS);
  return process.memoryUsage().arrayBuffers;
}

describe("ByteCollector", () => {
  /** A body in chunks of one byte took a hundred times its size, up to the end of the process. */
  it("does not hold the connection's buffer for each small chunk", async () => {
    const collector = new ByteCollector();
    const before = await measureBufferBytes();
    for (let index = 0; index < CHUNKS; index++) {
      const received = Buffer.alloc(CONNECTION_BUFFER_BYTES, index % 256);
      collector.addChunk(received.subarray(0, 1));
    }
    const heldBytes = await measureBufferBytes() - before;
    assert.ok(heldBytes < MAX_HELD_BYTES, `${heldBytes} bytes are held`);
    assert.equal(collector.byteCount, CHUNKS);
  });

  /** Chunks of one byte with long extensions held megabytes that no account counted. */
  it("counts the buffers that its chunks are parts of, and copies the chunks before these are large", () => {
    const collector = new ByteCollector();
    for (let index = 0; index < CHUNKS; index++) {
      const received = Buffer.alloc(CONNECTION_BUFFER_BYTES);
      collector.addChunk(received.subarray(0, 1));
      collector.addChunk(received.subarray(1, 2));
      assert.ok(collector.heldBytes >= collector.byteCount);
      assert.ok(collector.heldBytes < MAX_HELD_BYTES);
    }
    collector.clear();
    assert.equal(collector.heldBytes, 0);
  });

  it("returns all bytes in their order", () => {
    const collector = new ByteCollector();
    const bytes = Buffer.from(
      Array.from({ length: CHUNKS }, (_, index) => index % 256),
    );
    for (const byte of bytes) {
      collector.addChunk(Buffer.from([byte]));
    }
    assert.deepEqual(collector.toBuffer(), bytes);
    collector.clear();
    assert.equal(collector.toBuffer().length, 0);
  });
});
