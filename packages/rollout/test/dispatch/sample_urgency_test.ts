import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getSampleUrgency } from "../../src/dispatch/sample_urgency.ts";

describe("getSampleUrgency", () => {
  function testUrgency(priority: number, expected: number): void {
    it(`ranks priority ${priority} as ${expected}`, () => {
      assert.equal(getSampleUrgency(priority), expected);
    });
  }

  testUrgency(0, 4);
  testUrgency(1, 5);
  testUrgency(2, 6);
  testUrgency(99, 9);
});
