import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReadSchedule } from "../../src/http/read_schedule.ts";

const DELAY_MS = 100;

describe("ReadSchedule.computeDueMs", () => {
  /**
   * Checks the delays of reads; each read is [bytes written, bytes read, time,
   * expected delay].
   */
  function doTest(
    reads: readonly (readonly [number, number, number, number])[],
  ): void {
    const schedule = new ReadSchedule();
    const delays = reads.map(([bytesWritten, bytesRead, nowMs]) =>
      schedule.computeDueMs({ bytesWritten, bytesRead, nowMs }, DELAY_MS) -
      nowMs
    );
    assert.deepEqual(delays, reads.map(([, , , delayMs]) => delayMs));
  }

  it("does not delay the response head and the first body chunk, but delays later reads", () => {
    doTest([[0, 0, 0, 0], [0, 300, 9, 0], [0, 400, 10, DELAY_MS]]);
  });

  it("never delays the response of a new request", () => {
    doTest([
      [10, 0, 0, 0],
      [10, 9, 1, 0],
      [10, 99, 2, DELAY_MS],
      [20, 999, 110, 0],
      [20, 1999, 120, 0],
      [20, 2999, 130, DELAY_MS],
    ]);
  });

  it("does not delay large responses", () => {
    doTest([
      [1, 0, 0, 0],
      [1, 100, 1, 0],
      [1, 65_636, 2, 0],
      [1, 65_700, 3, DELAY_MS],
    ]);
  });
});
