import { ManualClock } from "@briarhill/common/time/manual_clock";
import assert from "node:assert/strict";
import { Socket } from "node:net";
import { describe, it } from "node:test";
import { ReadPacer } from "../../src/http/read_pacer.ts";

const STREAMS = 216;
const TICK_MS = 10;
const RUN_MS = 3000;
const MAX_DELAY_MS = 110;

/** A socket whose received data is scripted by the test; counts the reads. */
class ScriptedSocket extends Socket {
  reads = 0;
  override bytesRead = 0;
  override bytesWritten = 0;
  isReading = false;

  override _read(_size: number): void {
    this.reads++;
    this.isReading = true;
  }

  /**
   * Delivers bytes if a read is pending, as the event loop does; returns
   * whether it did.
   */
  receive(bytes: number): boolean {
    if (!this.isReading) {
      return false;
    }
    this.isReading = false;
    this.bytesRead += bytes;
    return true;
  }
}

interface Setup {
  readonly clock: ManualClock;
  readonly pacer: ReadPacer;
  readonly socket: ScriptedSocket;
}

function createSetup(streams: number): Setup {
  const clock = new ManualClock();
  const pacer = new ReadPacer(clock);
  for (let count = 0; count < streams; count++) {
    pacer.addStream();
  }
  const socket = new ScriptedSocket();
  pacer.addSocket(socket);
  socket._read(1);
  return { clock, pacer, socket };
}

describe("ReadPacer", () => {
  async function doReadsTest(
    streams: number,
    expected: { readonly maxReads: number; readonly maxDelayMs: number },
  ): Promise<void> {
    const { clock, socket } = createSetup(streams);
    let delayMs = 0;
    let longestDelayMs = 0;
    let received = 0;
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += TICK_MS) {
      delayMs += TICK_MS;
      if (socket.receive(50)) {
        received++;
        longestDelayMs = Math.max(longestDelayMs, delayMs);
        delayMs = 0;
        socket._read(1);
      }
      await clock.advance(TICK_MS);
    }
    assert(received <= expected.maxReads, `${received} reads`);
    assert(longestDelayMs <= expected.maxDelayMs, `${longestDelayMs} ms`);
  }

  it("reads data that arrives every 10 ms once per 100 ms, with 216 streams", async () => {
    const maxReads = RUN_MS / 100 + 2;
    await doReadsTest(STREAMS, {
      maxReads,
      maxDelayMs: MAX_DELAY_MS + TICK_MS,
    });
  });

  it("does not delay reads while 16 streams are open", async () => {
    await doReadsTest(16, {
      maxReads: RUN_MS / TICK_MS,
      maxDelayMs: TICK_MS,
    });
  });

  it("starts a delayed read within one tick of a new request", async () => {
    const { clock, socket } = createSetup(STREAMS);
    for (let count = 0; count < 2; count++) {
      assert(socket.receive(50));
      socket._read(1);
    }
    assert(!socket.isReading);
    socket.bytesWritten = 100;
    await clock.advance(TICK_MS);
    assert(socket.isReading);
  });

  it("does not start a delayed read of a closed connection", async () => {
    const { clock, socket } = createSetup(STREAMS);
    for (let count = 0; count < 2; count++) {
      socket.receive(50);
      socket._read(1);
    }
    socket.destroy();
    await clock.advance(RUN_MS);
    assert(!socket.isReading);
  });

  it("stops delaying reads once all streams are closed", () => {
    const pacer = new ReadPacer(new ManualClock());
    const closes = Array.from({ length: STREAMS }, () => pacer.addStream());
    assert.equal(pacer.getReadDelayMs(), 100);
    closes.forEach((close) => [close(), close()]);
    assert.equal(pacer.getReadDelayMs(), 0);
  });
});
