import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointLimits } from "../../src/limits/endpoint_limits.ts";
import type { StatedLimit } from "../../src/limits/request_limit.ts";

const NONE: StatedLimit = { kind: "none" };
const INVALID: StatedLimit = { kind: "invalid", text: "soon" };

interface Response {
  readonly stated: StatedLimit;
  readonly sentAtMs: number;
  readonly nowMs: number;
  readonly startedAtMs?: number;
}

function createRate(ratePerS: number): StatedLimit {
  return { kind: "rate", ratePerS };
}

describe("EndpointLimits.applyResponse", () => {
  function checkLimit(
    responses: readonly Response[],
    expected: number | undefined,
  ): void {
    const limits = new EndpointLimits();
    for (const { stated, sentAtMs, nowMs, startedAtMs = 1 } of responses) {
      limits.applyResponse({ id: "e", startedAtMs }, stated, {
        sentAtMs,
        nowMs,
      });
    }
    const limit = limits.getLimit({ id: "e", startedAtMs: 1 });
    assert.equal(limit?.ratePerS, expected);
  }
  const limited = { stated: createRate(2), sentAtMs: 0, nowMs: 10 };

  it("sets and changes a limit", () => {
    checkLimit([limited], 2);
    checkLimit([limited, { ...limited, stated: createRate(3) }], 3);
  });

  it("ends a limit by a response to a later request", () => {
    checkLimit([limited, { stated: NONE, sentAtMs: 11, nowMs: 12 }], undefined);
  });

  it("keeps a limit at a response to an earlier request that was overtaken", () => {
    checkLimit([limited, { stated: NONE, sentAtMs: 5, nowMs: 12 }], 2);
  });

  it("neither sets nor ends a limit by a value that is no rate", () => {
    checkLimit([{ stated: INVALID, sentAtMs: 0, nowMs: 1 }], undefined);
    checkLimit([limited, { stated: INVALID, sentAtMs: 11, nowMs: 12 }], 2);
  });

  it("ignores the limit of another incarnation", () => {
    checkLimit([{ ...limited, startedAtMs: 0 }], undefined);
    checkLimit(
      [limited, { ...limited, stated: createRate(9), startedAtMs: 0 }],
      2,
    );
  });
});

describe("EndpointLimits.addLimit", () => {
  it("adds limits that are not known, and newer incarnations only", () => {
    const limits = new EndpointLimits();
    const limit = {
      endpoint: "e",
      startedAtMs: 2,
      ratePerS: 1,
      confirmedAtMs: 0,
    };
    assert.equal(limits.addLimit(limit), "set");
    assert.equal(limits.addLimit({ ...limit, ratePerS: 5 }), "unchanged");
    assert.equal(limits.addLimit({ ...limit, startedAtMs: 1 }), "unchanged");
    assert.equal(limits.addLimit({ ...limit, startedAtMs: 3 }), "set");
  });
});

describe("EndpointLimits.removeUnconfirmed", () => {
  it("keeps a limit that a response has confirmed since", () => {
    const limits = new EndpointLimits();
    const endpoint = { id: "e", startedAtMs: 1 };
    limits.applyResponse(endpoint, createRate(1), { sentAtMs: 0, nowMs: 100 });
    assert.equal(limits.removeUnconfirmed("e", 99), false);
    assert.equal(limits.getAgeMs("e", 150), 50);
    assert.equal(limits.removeUnconfirmed("e", 100), true);
    assert.equal(limits.getLimit(endpoint), undefined);
  });
});
