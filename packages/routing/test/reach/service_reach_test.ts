import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type ProbeRound,
  ServiceReach,
} from "../../src/reach/service_reach.ts";

function createRound(
  startedAtMs: number,
  fields: Partial<ProbeRound> = {},
): ProbeRound {
  return {
    startedAtMs,
    endedAtMs: startedAtMs + 100,
    probed: 3,
    reached: 0,
    refused: 0,
    ...fields,
  };
}

/** Returns a service that was lost at 1,000 ms. */
function createLost(fields: Partial<ProbeRound> = {}): ServiceReach {
  const reach = new ServiceReach();
  reach.addDoubt(900, true);
  reach.applyRound(createRound(1_000, fields));
  return reach;
}

describe("ServiceReach.shouldProbe", () => {
  const check = (
    title: string,
    prepare: (reach: ServiceReach) => void,
    expected: boolean,
  ) =>
    it(title, () => {
      const reach = new ServiceReach();
      prepare(reach);
      assert.equal(reach.shouldProbe(1_000), expected);
    });

  check("is false without a doubt", () => undefined, false);
  check("is true if a request has had no answer", (reach) => {
    reach.addAnswer(500);
    reach.addDoubt(700, false);
  }, true);
  check("is false if another request was answered meanwhile", (reach) => {
    reach.addDoubt(700, false);
    reach.addAnswer(800);
  }, false);
  check(
    "is true if a connection failed, whatever older ones answer",
    (reach) => {
      reach.addDoubt(700, true);
      reach.addAnswer(800);
    },
    true,
  );
  check("is false just after a round that reached an endpoint", (reach) => {
    reach.applyRound(createRound(900, { reached: 1 }));
    reach.addDoubt(1_000, true);
  }, false);
});

describe("ServiceReach.applyRound", () => {
  it("loses the service with the first round that reaches no endpoint", () => {
    const reach = new ServiceReach();
    assert.equal(reach.applyRound(createRound(1_000)), "lost");
    assert.equal(reach.isLost, true);
    assert.equal(reach.applyRound(createRound(1_300)), "none");
  });

  it("does not lose a service without endpoints to probe", () => {
    const reach = new ServiceReach();
    assert.equal(reach.applyRound(createRound(1_000, { probed: 0 })), "none");
    assert.equal(reach.isLost, false);
  });

  it("regains the service only after two rounds in a row, so that it does not flap", () => {
    const reach = createLost();
    const states = [1, 0, 1, 1].map((reached, index) =>
      reach.applyRound(createRound(1_300 + 300 * index, { reached }))
    );
    assert.deepEqual(states, ["none", "none", "none", "regained"]);
    assert.equal(reach.isLost, false);
  });
});

describe("ServiceReach.hasOpenConnections", () => {
  const check = (
    title: string,
    { refused, expected }: {
      readonly refused: number;
      readonly expected: boolean;
    },
    prepare: (reach: ServiceReach) => void = () => undefined,
  ) =>
    it(title, () => {
      const reach = createLost({ refused });
      prepare(reach);
      assert.equal(reach.hasOpenConnections, expected);
    });

  check("is true while new ones are refused", { refused: 3, expected: true });
  check("is false while new ones are silent", { refused: 0, expected: false });
  check("is true once an open one has answered", {
    refused: 0,
    expected: true,
  }, (reach) => reach.addAnswer(1_200));
  check("is false once a request on an open one has failed", {
    refused: 3,
    expected: false,
  }, (reach) => reach.addDoubt(1_200, false));
  check("does not depend on further refused connections", {
    refused: 3,
    expected: true,
  }, (reach) => reach.addDoubt(1_200, true));
});

describe("ServiceReach.isLinkLoss", () => {
  const check = (reach: ServiceReach, lostAtMs: number, expected: boolean) =>
    assert.equal(reach.isLinkLoss(lostAtMs), expected, `${lostAtMs} ms`);

  it("covers the loss and the time in which it was not noticed", () => {
    const reach = createLost();
    reach.applyRound(createRound(2_000, { reached: 1 }));
    reach.applyRound(createRound(2_300, { reached: 1 }));
    check(reach, -2_000, false);
    check(reach, 500, true);
    check(reach, 2_100, true);
    check(reach, 2_500, false);
  });

  it("is false if no other host reached the service either, whoever regains it first", () => {
    const reach = createLost();
    check(reach, 1_100, true);
    reach.setReachedElsewhere(false);
    check(reach, 1_100, false);
    reach.setReachedElsewhere(true);
    check(reach, 1_100, false);
  });
});
