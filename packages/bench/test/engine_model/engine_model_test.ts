import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EngineJobResult } from "../../src/engine_model/engine_job.ts";
import { EngineModel } from "../../src/engine_model/engine_model.ts";
import { VirtualScheduler } from "../../src/engine_model/virtual_scheduler.ts";

const SETTINGS = {
  slots: 2,
  prefillMsPerToken: 1,
  stepMs: 10,
  stepMsPerJob: 5,
  cachedPrefixes: 1,
};

function createSetup() {
  const scheduler = new VirtualScheduler();
  const engine = new EngineModel(scheduler, SETTINGS);
  const ends: [number, EngineJobResult][] = [];
  const firstTokenTimes: number[] = [];
  const add = (id: string, outputTokens: number, priority = 0) =>
    engine.addJob(
      { id, promptTokens: 10, outputTokens, priority },
      {
        onFirstToken: () => firstTokenTimes.push(scheduler.getNowMs()),
        onEnd: (result) => ends.push([scheduler.getNowMs(), result]),
      },
    );
  return { scheduler, engine, ends, firstTokenTimes, add };
}

describe("EngineModel", () => {
  it("runs the prefill of a job, then one step per token", () => {
    const { scheduler, ends, firstTokenTimes, add } = createSetup();
    add("a", 5);
    scheduler.runUntil(1000);
    assert.deepEqual(firstTokenTimes, [20]);
    assert.equal(ends[0]?.[0], 60);
    assert.equal(ends[0]?.[1].tokens, 5);
  });

  it("slows down each step as the batch grows", () => {
    const { scheduler, ends, add } = createSetup();
    add("a", 5);
    add("b", 5);
    scheduler.runUntil(1000);
    assert.deepEqual(ends.map(([at]) => at), [95, 95]);
  });

  it("preempts the job of lowest priority and finishes it later", () => {
    const { scheduler, ends, add } = createSetup();
    add("a", 50);
    add("b", 50);
    scheduler.runUntil(100);
    add("c", 2, 9);
    scheduler.runUntil(10_000);
    assert.deepEqual(ends.map(([, result]) => result.id), ["c", "a", "b"]);
    assert.ok(ends.every(([, result]) => result.outcome === "finished"));
  });

  it("records a span for each version and covers all tokens", () => {
    const { scheduler, engine, ends, add } = createSetup();
    add("a", 10);
    scheduler.runUntil(50);
    engine.setVersion(2);
    scheduler.runUntil(1000);
    assert.deepEqual(ends[0]?.[1].spans, [
      { fromToken: 0, toToken: 4, version: 1 },
      { fromToken: 4, toToken: 10, version: 2 },
    ]);
  });

  it("reports no event at infinite slowdown, and breaks its jobs on a stop", () => {
    const { scheduler, engine, ends, add } = createSetup();
    add("a", 10);
    scheduler.runUntil(50);
    engine.setSlowdown(Infinity);
    scheduler.runUntil(5000);
    assert.equal(ends.length, 0);
    engine.stop();
    assert.deepEqual(
      ends.map(([, result]) => [result.outcome, result.tokens]),
      [
        ["broken", 4],
      ],
    );
  });
});
