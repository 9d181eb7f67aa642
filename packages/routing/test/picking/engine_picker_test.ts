import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AffinityPicker } from "../../src/picking/affinity_picker.ts";
import { computeCorrectedLoad } from "../../src/picking/corrected_load.ts";
import type {
  EngineCandidate,
  PickRequest,
} from "../../src/picking/engine_candidate.ts";
import { LeastReportedPicker } from "../../src/picking/least_reported_picker.ts";
import { RandomPicker } from "../../src/picking/random_picker.ts";
import { RoundRobinPicker } from "../../src/picking/round_robin_picker.ts";
import { TwoChoicesPicker } from "../../src/picking/two_choices_picker.ts";
import { createCandidate, createContext, createRequest } from "./fixtures.ts";

const PICKERS = [
  new AffinityPicker(),
  new LeastReportedPicker(),
  new RandomPicker(),
  new RoundRobinPicker(),
  new TwoChoicesPicker(),
];

describe("EnginePicker.pick", () => {
  it("picks no engine that can't serve the request", () => {
    const rows: [Partial<EngineCandidate>, Partial<PickRequest>][] = [
      [{ models: [] }, {}],
      [{ role: "rollout" }, {}],
      [{ role: "live" }, { requestClass: "rollout" }],
      [{}, { adapter: "missing" }],
      [{}, { minVersion: 4 }],
      [{}, { excluded: ["engine-0"] }],
    ];
    for (const picker of PICKERS) {
      for (const [candidate, request] of rows) {
        const context = createContext([createCandidate(candidate)]);
        assert.equal(picker.pick(createRequest(request), context), undefined);
      }
      const context = createContext([createCandidate()]);
      const request = createRequest({ adapter: "es", minVersion: 3 });
      assert.equal(picker.pick(request, context)?.id, "engine-0");
    }
  });

  it("picks an engine with a reduced share of picks accordingly less often", () => {
    const context = createContext([
      createCandidate({ id: "recovering", pickShare: 0.1 }),
      createCandidate({ id: "healthy" }),
    ]);
    let picks = 0;
    for (let count = 0; count < 2000; count++) {
      const picked = new RandomPicker().pick(createRequest(), context);
      picks += picked?.id === "recovering" ? 1 : 0;
    }
    assert.ok(picks > 60 && picks < 140, `${picks} of 2000 picks`);
  });
});

describe("computeCorrectedLoad", () => {
  it("adds the requests started and subtracts those ended since the report", () => {
    const { inFlight } = createContext([]);
    const request = { requestClass: "live" as const };
    inFlight.recordStart("engine-0", { ...request, nowMs: 100 });
    inFlight.recordStart("engine-0", { ...request, nowMs: 300 });
    inFlight.recordStart("engine-0", { ...request, nowMs: 400 });
    inFlight.recordEnd("engine-0", { ...request, nowMs: 500 });
    const load = (asOfMs: number) =>
      computeCorrectedLoad(
        createCandidate({ report: { asOfMs, running: 4, queued: 1 } }),
        inFlight,
      );
    assert.deepEqual([load(50), load(200), load(450), load(600)], [7, 6, 4, 5]);
  });
});

describe("AffinityPicker.pick", () => {
  const pool = Array.from(
    { length: 8 },
    (_, index) => createCandidate({ id: `engine-${index}` }),
  );

  it("distributes requests that share one prefix, whether or not it is cached", () => {
    const request = createRequest({ prefixHash: "p1" });
    const context = createContext(pool);
    const counts = new Map<string, number>();
    for (let count = 0; count < 64; count++) {
      const id = new AffinityPicker().pick(request, context)?.id ?? "";
      context.prefixes.recordSent(id, { prefixHash: "p1", nowMs: 1000 });
      context.inFlight.recordStart(id, { requestClass: "live", nowMs: 1000 });
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    // The load bound is 1.25 times the mean of 8 requests, plus one request of slack.
    assert.ok(Math.max(...counts.values()) <= 12, JSON.stringify([...counts]));
  });

  it("prefers an idle engine that has cached the prefix, until the hint expires", () => {
    const request = createRequest({ prefixHash: "p" });
    const context = createContext(pool);
    context.prefixes.applyEvents("engine-5", {
      events: [{ sequence: 3, kind: "stored", prefixHash: "p" }],
      nowMs: 1000,
    });
    const pick = (nowMs: number) =>
      new AffinityPicker().pick(request, { ...context, nowMs })?.id;
    assert.ok(
      Array.from({ length: 20 }, () => pick(1000)).every((id) =>
        id === "engine-5"
      ),
    );
    context.prefixes.applyEvents("engine-5", {
      events: [{ sequence: 2, kind: "evicted", prefixHash: "p" }],
      nowMs: 1000,
    });
    assert.equal(
      pick(2000),
      "engine-5",
      "an event with an old sequence number has no effect",
    );
    assert.equal(
      context.prefixes.hasPrefix("engine-5", { prefixHash: "p", nowMs: 2e5 }),
      false,
    );
  });

  it("avoids an engine whose time per token is ten times as long", () => {
    const context = createContext(
      pool.map((it, index) => index === 0 ? { ...it, msPerToken: 150 } : it),
    );
    let slow = 0;
    for (let count = 0; count < 400; count++) {
      const picked = new AffinityPicker().pick(createRequest(), context);
      slow += picked?.id === "engine-0" ? 1 : 0;
    }
    assert.equal(slow, 0);
  });
});
