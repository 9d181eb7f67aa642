import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TokenBucket } from "../../src/limits/token_bucket.ts";

describe("TokenBucket.takeToken", () => {
  it("starts empty and holds at most the tokens of half a second, or one", () => {
    const bucket = new TokenBucket(10, 0);
    assert.equal(bucket.takeToken(0), false);
    assert.equal(bucket.getTokens(60_000), 5);
    assert.equal(new TokenBucket(0.5, 0).getTokens(60_000), 1);
  });
});

describe("TokenBucket.getReadyAtMs", () => {
  it("returns when a number of tokens will have been added", () => {
    const bucket = new TokenBucket(2, 0);
    assert.equal(bucket.getReadyAtMs(1, 100), 500);
    assert.equal(bucket.getReadyAtMs(3, 100), 1_500);
    assert.equal(bucket.getReadyAtMs(1, 700), 700);
  });
});

describe("TokenBucket.setRate", () => {
  it("drops tokens beyond the new capacity and never falls to a rate of zero", () => {
    const bucket = new TokenBucket(100, 0);
    bucket.setRate(0, 10_000);
    assert.equal(bucket.getTokens(10_000), 1);
    assert.ok(bucket.ratePerS > 0);
  });

  it("ignores a time that lies before the last one", () => {
    const bucket = new TokenBucket(1, 1_000);
    bucket.setRate(1, 500);
    assert.equal(bucket.getTokens(1_500), 0.5);
  });
});
