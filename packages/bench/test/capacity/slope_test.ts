import { StateError } from "@briarhill/common/errors/errors";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  computeAt,
  computeCostAt,
  computeSlope,
} from "../../src/capacity/slope.ts";

describe("computeSlope", () => {
  it("returns base and slope of points on a line", () => {
    const points = [1, 5, 9].map((size) => ({ size, value: 3 + 2 * size }));
    const slope = computeSlope(points);
    assert.equal(slope.base, 3);
    assert.equal(slope.perUnit, 2);
    assert.equal(computeAt(slope, 100), 203);
  });

  it("throws for a single point and for points of one size", () => {
    const point = { size: 1, value: 1 };
    assert.throws(() => computeSlope([point]), StateError);
    assert.throws(() => computeSlope([point, point]), StateError);
  });
});

describe("computeCostAt", () => {
  testCost("extrapolates a rising cost along the line", [3, 5, 7], 23);
  testCost("returns the mean of a falling cost", [7, 5, 3], 5);
});

function testCost(
  name: string,
  values: readonly number[],
  expected: number,
): void {
  it(name, () => {
    const points = values.map((value, size) => ({ size, value }));
    assert.equal(computeCostAt(points, 10), expected);
  });
}
