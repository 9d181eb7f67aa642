import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type DrainTarget,
  getDrainSubject,
} from "../../src/configuration/configuration_record.ts";
import type { ConfigurationState } from "../../src/configuration/configuration_state.ts";
import { canAcceptCalls, canAcceptWork } from "../../src/drain/drain_policy.ts";

const ENDPOINT = { id: "engine-1", failureDomain: "north" };
const HOST = { host: "entry-1", failureDomain: "north" };

function createState(target: DrainTarget, draining: boolean) {
  const id = { writer: "operator", session: "s", sequence: 0 };
  const value = { kind: "drain", target, draining } as const;
  const subject = { revision: 0, id, timeMs: 0, value };
  const subjects = new Map([[getDrainSubject(target), subject]]);
  return { offset: 0, subjects } satisfies ConfigurationState;
}

describe("canAcceptWork and canAcceptCalls", () => {
  const table = [
    ["endpoint", "engine-1", true, false, true],
    ["endpoint", "engine-1", false, true, true],
    ["endpoint", "engine-2", true, true, true],
    ["failure-domain", "north", true, false, false],
    ["failure-domain", "south", true, true, true],
    ["host", "entry-1", true, true, false],
    ["host", "entry-1", false, true, true],
  ] as const;
  for (const [kind, name, draining, work, calls] of table) {
    it(`apply the drain of ${kind} ${name} when draining is ${draining}`, () => {
      const state = createState({ kind, name }, draining);
      assert.equal(canAcceptWork(state, ENDPOINT), work);
      assert.equal(canAcceptCalls(state, HOST), calls);
    });
  }
});
