import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PermitRequest } from "../../src/limits/permit.ts";
import { PermitQueue } from "../../src/limits/permit_queue.ts";
import {
  countMostInPeriod,
  listGrants,
  type Load,
  PERIOD_MS,
  playLoads,
} from "./permit_load.ts";

function createRequest(options: Partial<PermitRequest> = {}): PermitRequest {
  return {
    id: "r",
    flow: "live",
    priority: 1,
    endpoints: ["e"],
    maxWaitMs: 100,
    ...options,
  };
}

function createQueue(rates: Readonly<Record<string, number>>): PermitQueue {
  const queue = new PermitQueue();
  for (const [endpoint, rate] of Object.entries(rates)) {
    queue.setRate(endpoint, rate, 0);
  }
  return queue;
}

const OVERLOAD: readonly Load[] = [
  { flow: "live", priority: 1, perS: 40, maxWaitMs: 100 },
  { flow: "training", priority: 1, perS: 40, maxWaitMs: 1_000 },
];

describe("PermitQueue.addRequest", () => {
  function checkRate(ratePerS: number): void {
    const queue = createQueue({ e: ratePerS });
    const grants = listGrants(
      playLoads(queue, { loads: OVERLOAD, forMs: 30_000, endpoints: ["e"] }),
    );
    const most = countMostInPeriod(grants);
    const allowed = ratePerS * PERIOD_MS / 1_000 + Math.max(1, ratePerS / 2);
    assert.ok(most <= Math.ceil(allowed) + 1, `${most} of ${allowed}`);
    // An endpoint whose service is over its limits is not left idle.
    const full = Math.floor(ratePerS * 29);
    assert.ok(grants.length >= full - 1, `${grants.length} of ${full}`);
  }

  it("grants an endpoint its whole rate and no more under overload", () => {
    [0.3, 1, 1.3, 4.7, 6.7, 25].forEach(checkRate);
  });

  it("grants the sum of the rates of several endpoints", () => {
    const queue = createQueue({ a: 1, b: 3 });
    const decided = playLoads(queue, {
      loads: OVERLOAD,
      forMs: 20_000,
      endpoints: ["a", "b"],
    });
    assert.ok(Math.abs(listGrants(decided, "a").length - 20) <= 2);
    assert.ok(Math.abs(listGrants(decided, "b").length - 60) <= 3);
  });

  it("keeps the lowest rate while a limit changes between two", () => {
    const queue = createQueue({ e: 8 });
    const decided = playLoads(queue, {
      loads: OVERLOAD,
      forMs: 20_000,
      endpoints: ["e"],
      onStep: (nowMs) => queue.setRate("e", nowMs % 1_000 < 500 ? 8 : 2, nowMs),
    });
    const most = countMostInPeriod(listGrants(decided));
    assert.ok(most <= 5 * PERIOD_MS / 1_000 + 4, `${most}`);
  });

  it("grants few requests at a limit of zero, so that its end is noticed", () => {
    const decided = playLoads(createQueue({ e: 0 }), {
      loads: OVERLOAD,
      forMs: 30_000,
      endpoints: ["e"],
    });
    const grants = listGrants(decided).length;
    assert.ok(grants >= 1 && grants <= 3, `${grants}`);
  });

  it("grants all requests at a huge limit", () => {
    const decided = playLoads(createQueue({ e: 1e15 }), {
      loads: OVERLOAD,
      forMs: 5_000,
      endpoints: ["e"],
    });
    assert.equal(listGrants(decided).length, decided.length);
  });

  it("rejects a request at once if it would wait for too long", () => {
    const queue = createQueue({ e: 1 });
    assert.deepEqual(queue.addRequest(createRequest(), 0), [
      { kind: "rejected", id: "r", retryAfterMs: 1_000 },
    ]);
    assert.equal(queue.waiting, 0);
  });

  it("rejects a request without a known endpoint", () => {
    const [decision] = createQueue({}).addRequest(createRequest(), 0);
    assert.equal(decision?.kind, "rejected");
  });

  it("holds a request that gets its permit in time", () => {
    const queue = createQueue({ e: 1 });
    assert.deepEqual(queue.addRequest(createRequest(), 950), []);
    assert.equal(queue.getNextAtMs(950), 1_000);
    assert.deepEqual(queue.advance(1_000), [
      { kind: "granted", id: "r", endpoint: "e" },
    ]);
  });

  it("assigns rejected requests retry delays one permit apart", () => {
    const queue = createQueue({ a: 1, b: 1 });
    const delays = Array.from({ length: 12 }, (_, index) => {
      const request = createRequest({ id: `${index}`, endpoints: ["a", "b"] });
      const [decision] = queue.addRequest(request, 0);
      return decision?.kind === "rejected" ? decision.retryAfterMs : 0;
    });
    delays.slice(1).forEach((delayMs, index) =>
      assert.equal(delayMs, (delays[index] ?? 0) + 500)
    );
  });
});

describe("PermitQueue.advance", () => {
  function checkShares(
    priorities: Readonly<Record<string, number>>,
    check: (share: number) => boolean,
  ): void {
    const loads = OVERLOAD.map((load) => ({
      ...load,
      priority: priorities[load.flow] ?? 0,
    }));
    const grants = listGrants(
      playLoads(createQueue({ e: 10 }), {
        loads,
        forMs: 30_000,
        endpoints: ["e"],
      }),
    );
    const live = grants.filter(({ flow }) => flow === "live").length;
    const share = live / grants.length;
    assert.ok(check(share), `${share}`);
  }

  it("lets flows of equal priority share equally", () => {
    checkShares(
      { live: 1, training: 1 },
      (share) => share > 0.4 && share < 0.6,
    );
  });

  it("serves urgent requests first and leaves the others a minimum share", () => {
    checkShares(
      { live: 0, training: 1 },
      (share) => share > 0.8 && share < 0.95,
    );
    checkShares(
      { live: 1, training: 0 },
      (share) => share > 0.05 && share < 0.2,
    );
  });

  it("rejects requests that no longer can wait", () => {
    const queue = createQueue({ e: 2 });
    queue.addRequest(createRequest({ priority: 2, maxWaitMs: 500 }), 0);
    queue.addRequest(
      createRequest({ id: "u", priority: 0, maxWaitMs: 500 }),
      0,
    );
    assert.equal(queue.waiting, 2);
    const decisions = queue.advance(500);
    assert.deepEqual(decisions.map(({ id, kind }) => `${id} ${kind}`), [
      "u granted",
      "r rejected",
    ]);
  });
});

describe("PermitQueue.removeRequest", () => {
  it("gives the permit of a request that has left to the next one", () => {
    const queue = createQueue({ e: 1 });
    queue.addRequest(createRequest({ maxWaitMs: 3_000 }), 0);
    queue.addRequest(createRequest({ id: "next", maxWaitMs: 3_000 }), 0);
    queue.removeRequest("r");
    assert.deepEqual(queue.advance(1_000), [
      { kind: "granted", id: "next", endpoint: "e" },
    ]);
  });
});

describe("PermitQueue.removeEndpoint", () => {
  it("starts an endpoint without tokens when its limit returns", () => {
    const queue = createQueue({ e: 1 });
    queue.removeEndpoint("e");
    queue.setRate("e", 1, 5_000);
    const [decision] = queue.addRequest(createRequest(), 5_000);
    assert.equal(decision?.kind, "rejected");
  });
});
