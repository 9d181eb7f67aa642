import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StopWindow } from "../../src/admission/stop_window.ts";

const OPEN_MS = 3_000;
const END_MS = 7_000;
const START_MS = 100;

describe("StopWindow.canTake", () => {
  function testTake(
    { sinceMs, lastsMs }: {
      readonly sinceMs: number;
      readonly lastsMs: number;
    },
    expected: boolean,
  ): void {
    const window = new StopWindow({ openMs: OPEN_MS, endMs: END_MS });
    window.start(START_MS);
    window.start(START_MS + 50);
    const nowMs = START_MS + sinceMs;
    assert.equal(window.canTake(nowMs, nowMs + lastsMs), expected);
  }

  it("takes every request before the stop", () => {
    const window = new StopWindow({ openMs: OPEN_MS, endMs: END_MS });
    assert.equal(window.canTake(0, Infinity), true);
  });

  it("takes every request while callers can't know of the stop", () => {
    testTake({ sinceMs: 0, lastsMs: Infinity }, true);
    testTake({ sinceMs: OPEN_MS - 1, lastsMs: Infinity }, true);
  });

  it("takes later ones only if they end in time", () => {
    testTake({ sinceMs: OPEN_MS, lastsMs: 4_000 }, true);
    testTake({ sinceMs: OPEN_MS, lastsMs: 4_001 }, false);
    testTake({ sinceMs: END_MS, lastsMs: 1 }, false);
    testTake({ sinceMs: OPEN_MS, lastsMs: Infinity }, false);
  });
});
