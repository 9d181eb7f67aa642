import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReadSchedule } from "../../src/http/read_schedule.ts";

const PACE_MS = 100;

describe("ReadSchedule.computeDueMs", () => {
  /** Each read is [bytes written, bytes read, time, expected delay]. */
  function doTest(
    reads: readonly (readonly [number, number, number, number])[],
  ): void {
    const schedule = new ReadSchedule();
    const delays = reads.map(([bytesWritten, bytesRead, nowMs]) =>
      schedule.computeDueMs({ bytesWritten, bytesRead, nowMs }, PACE_MS) -
      nowMs
    );
    assert.deepEqual(delays, reads.map(([, , , delayMs]) => delayMs));
  }

  it("reads the head and the first part at once, then lets parts gather", () => {
    doTest([[0, 0, 0, 0], [0, 300, 9, 0], [0, 400, 10, PACE_MS]]);
  });

  it("never holds up the answer of a new request", () => {
    doTest([
      [10, 0, 0, 0],
      [10, 9, 1, 0],
      [10, 99, 2, PACE_MS],
      [20, 999, 110, 0],
      [20, 1999, 120, 0],
      [20, 2999, 130, PACE_MS],
    ]);
  });

  it("does not hold up large answers", () => {
    doTest([
      [1, 0, 0, 0],
      [1, 100, 1, 0],
      [1, 65_636, 2, 0],
      [1, 65_700, 3, PACE_MS],
    ]);
  });
});
