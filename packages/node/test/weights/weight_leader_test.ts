import { PortError } from "@briarhill/common/errors/errors";
import { Logger } from "@briarhill/common/logging/logger";
import { ManualClock } from "@briarhill/common/time/manual_clock";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import type { ContractSource } from "../../src/configuration/contract_source.ts";
import type { EndpointDirectory } from "../../src/endpoints/endpoint_directory.ts";
import type { LeaseManager } from "../../src/leases/lease_manager.ts";
import type { NodeContext } from "../../src/node/node_context.ts";
import { WeightLeader } from "../../src/weights/weight_leader.ts";

const MODEL = "names-es";
const STEP_MS = 100;

interface Order {
  readonly kind: string;
  readonly version: number;
  readonly fencing: number;
}

/** Creates an in-memory engine that implements only the methods that the leader calls. */
function createEngine(orders: Order[], failures: number) {
  let weights: { version: number; loaded?: number } = { version: 1 };
  let failuresLeft = failures;
  const getState = () =>
    Promise.resolve({ models: [{ model: MODEL, ...weights }] });
  return {
    getState,
    order: (order: Order) => {
      orders.push(order);
      if (failuresLeft-- > 0) {
        return Promise.reject(new PortError("swap failed"));
      }
      weights = order.kind === "load"
        ? { ...weights, loaded: order.version }
        : { version: order.version };
      return getState();
    },
    getVersion: () => weights.version,
  };
}

function createFixture(
  failures: number,
  takeover: { readonly isFirst?: boolean; readonly checksFencing?: boolean } =
    {},
) {
  const orders: Order[] = [];
  const engines = new Map(
    ["a", "b", "c"].map((id) => [id, createEngine(orders, failures)]),
  );
  const lease: { fencing: number | undefined } = { fencing: 7 };
  const clock = new ManualClock();
  const context = {
    clock,
    logger: Logger.create({}),
    weightStore: { getLimits: () => Promise.resolve({ fetchesPerSecond: 2 }) },
  } as unknown as NodeContext;
  const directory = {
    getEngine: (id: string) => engines.get(id),
    getEndpoints: () =>
      [...engines.keys()].map((id) => ({
        leaving: false,
        listed: {
          id,
          kind: "engine",
          incarnation: 1,
          checksFencing: takeover.checksFencing ?? true,
          models: [MODEL],
        },
      })),
  } as unknown as EndpointDirectory;
  const leases = {
    seek: () => {},
    release: () => {
      lease.fencing = undefined;
      return Promise.resolve();
    },
    getFencing: () => lease.fencing,
    isFirstHolder: () => takeover.isFirst ?? false,
  } as unknown as LeaseManager;
  const contracts = { getContracts: () => [] } as unknown as ContractSource;
  const leader = new WeightLeader(context, { directory, leases, contracts });
  return { leader, clock, orders, engines, lease };
}

async function runFor(
  fixture: ReturnType<typeof createFixture>,
  durationMs: number,
): Promise<void> {
  const controller = new AbortController();
  const run = fixture.leader.run(controller.signal);
  const endMs = fixture.clock.getMonotonicMs() + durationMs;
  while (fixture.clock.getMonotonicMs() < endMs) {
    await setImmediate();
    fixture.clock.advance(STEP_MS);
  }
  controller.abort();
  await run;
}

describe("WeightLeader", () => {
  for (const failures of [0, 2]) {
    it(`switches all engines to the announced version after ${failures} failures of each`, async () => {
      const fixture = createFixture(failures);
      const announced = { model: MODEL, version: 2, announcedAtMs: 0 };
      fixture.leader.handleAnnounced(announced);
      await runFor(fixture, 30_000);
      const versions = [...fixture.engines.values()]
        .map((engine) => engine.getVersion());
      assert.deepEqual(versions, [2, 2, 2]);
      assert.equal(fixture.orders.length, 6 + 3 * failures);
      assert.ok(fixture.orders.every(({ fencing }) => fencing === 7));
    });
  }

  it("sends no order without the lease or after releasing it", async () => {
    const fixture = createFixture(0);
    const announced = { model: MODEL, version: 2, announcedAtMs: 0 };
    fixture.lease.fencing = undefined;
    fixture.leader.handleAnnounced(announced);
    await runFor(fixture, 10_000);
    assert.equal(fixture.orders.length, 0);
    fixture.lease.fencing = 8;
    await fixture.leader.release();
    await runFor(fixture, 10_000);
    assert.equal(fixture.orders.length, 0);
  });

  for (const isFirst of [true, false]) {
    it(`orders engines that ignore fencing numbers within 15 s as first holder, else within 30 s; first holder: ${isFirst}`, async () => {
      const fixture = createFixture(0, { isFirst, checksFencing: false });
      const announced = { model: MODEL, version: 2, announcedAtMs: 0 };
      fixture.leader.handleAnnounced(announced);
      await runFor(fixture, 15_000);
      assert.equal(fixture.orders.length > 0, isFirst);
      await runFor(fixture, 15_000);
      assert.equal(fixture.orders.length, 6);
    });
  }
});
