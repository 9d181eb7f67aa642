import type {
  Engine,
  EngineState,
  GenerateRequest,
} from "@briarhill/ports/engine/engine";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { FakeEngine } from "../../src/engine/fake_engine.ts";
import { listPrefixHashes } from "../../src/engine/fake_prefix_cache.ts";
import { ACCESSES, type ContractCall } from "../contract_subject.ts";
import { testPort } from "../contract_table.ts";
import {
  createRequest,
  createText,
  createTokens,
  createUnit,
  MODEL,
  readText,
  testEngine,
  type TestOptions,
  TOKENS,
} from "./engine_fixture.ts";

const ROLES = ["live", "rollout", "mixed"] as const;
const LONG_PROMPT = "plazas ".repeat(100);

function createNumbered(number: number): GenerateRequest {
  return createRequest({ requestId: `r${number}`, prompt: `plaza ${number}` });
}

function listCalls(engine: FakeEngine): readonly ContractCall<Engine>[] {
  return [
    ...listGenerationCalls(engine),
    ...listControlCalls(engine),
    ...listReportCalls(engine),
  ];
}

function listGenerationCalls(
  engine: FakeEngine,
): readonly ContractCall<Engine>[] {
  return [{
    operation: "generate",
    call: (port, number) => readText(port.generate(createNumbered(number))),
    getExpected: (number) =>
      createTokens({ prompt: `plaza ${number}` }).join(""),
    countEffects: () => engine.getReceived().length,
  }, {
    operation: "cancel",
    call: (port, number) => port.cancel(`r${number}`),
    getExpected: () => undefined,
  }, {
    operation: "exportKv",
    prepare: (number) => readText(engine.generate(createNumbered(number))),
    call: (port, number) => port.exportKv(`r${number}`),
    getExpected: (number) => `kv:engine-1:r${number}:${TOKENS}`,
  }];
}

function createState(role: EngineState["role"], leaving: boolean): EngineState {
  const models = [{ model: MODEL, version: 1, adapters: [] }];
  return { endpoint: "engine-1", incarnation: 1, leaving, role, models };
}

function listControlCalls(
  engine: FakeEngine,
): readonly ContractCall<Engine>[] {
  return [{
    operation: "order",
    call: (port, number) => {
      const role = ROLES[number] ?? "mixed";
      return port.order({ kind: "role", role, fencing: number + 1 });
    },
    getExpected: (number) => createState(ROLES[number] ?? "mixed", false),
    countEffects: () => engine.getOrders().length,
  }, {
    operation: "getState",
    prepare: (number) => number > 0 ? engine.setLeaving() : undefined,
    call: (port) => port.getState(),
    getExpected: (number) => createState("mixed", number > 0),
  }];
}

function listReportCalls(engine: FakeEngine): readonly ContractCall<Engine>[] {
  return [{
    operation: "getLoad",
    prepare: (number) => number > 0 ? engine.setLeaving() : undefined,
    call: async (port) => {
      const { endpoint, running, leaving } = await port.getLoad();
      return { endpoint, running, leaving };
    },
    getExpected: (number) => ({
      endpoint: "engine-1",
      running: 0,
      leaving: number > 0,
    }),
  }, {
    operation: "getCacheEvents",
    prepare: () =>
      readText(engine.generate(createRequest({ prompt: LONG_PROMPT }))),
    call: (port, number) => port.getCacheEvents(number),
    getExpected: (number) =>
      listPrefixHashes(LONG_PROMPT)
        .map((prefixHash, index) => ({
          sequence: index + 1,
          kind: "stored",
          prefixHash,
        }))
        .slice(number),
  }];
}

testPort(createUnit({ cacheEventLagMs: 0, cacheEventLoss: 0 }, listCalls));

for (const access of ACCESSES) {
  const doTest = (
    run: (port: Engine, engine: FakeEngine) => Promise<void>,
    options: Partial<TestOptions> = {},
  ) => testEngine(run, { access, ...options });

  describe(`streams ${access}`, () => {
    it("names the version that produced each token through a switch", () =>
      doTest(async (port) => {
        const spans: number[] = [];
        for await (const chunk of port.generate(createRequest())) {
          chunk.tokens.forEach(() => spans.push(chunk.version ?? -1));
          if (spans.length === 2) {
            const target = { model: MODEL, version: 2, fencing: 1 };
            await port.order({ kind: "load", ...target });
            await port.order({ kind: "switch", ...target });
          }
        }
        assert.equal(spans.length, TOKENS);
        assert.deepEqual(spans, spans.toSorted());
        assert.deepEqual([spans[0], spans.at(-1)], [1, 2]);
      }, { settings: { stepMs: 20 } }));

    it("leaves the version out where the engine doesn't report it", () =>
      doTest(async (port) => {
        for await (const chunk of port.generate(createRequest())) {
          assert.equal("version" in chunk, false);
        }
      }, { settings: { reportsVersions: false } }));

    it("goes on after a prefix at another engine", () =>
      doTest(async (port) => {
        const request = createRequest({ fromToken: 3, prefix: "a b c " });
        const text = await readText(port.generate(request));
        assert.equal(text, createText(1, 3));
      }));

    it("refuses to resume what it doesn't know", () =>
      doTest(async (port) => {
        const request = createRequest({ fromToken: 3 });
        await assert.rejects(readText(port.generate(request)), {
          fault: "rejected",
          outcome: "not-run",
        });
      }));

    it("cancels the generation when the caller stops reading", () =>
      doTest(async (port, engine) => {
        const sampling = { ...createRequest().sampling, maxTokens: 1e9 };
        for await (const _ of port.generate(createRequest({ sampling }))) {
          break;
        }
        while ((await engine.getLoad()).running > 0) {
          await new Promise((resolve) => setTimeout(resolve, 5));
        }
      }, { settings: { stepMs: 5, medianTokens: 1e9 } }));
  });

  describe(`orders ${access}`, () => {
    it("refuses an old fencing number where it checks them", () =>
      doTest(async (port) => {
        await port.order({ kind: "role", role: "live", fencing: 5 });
        const late = port.order({ kind: "role", role: "mixed", fencing: 4 });
        await assert.rejects(late, { name: "FencedError", outcome: "not-run" });
        assert.equal((await port.getState()).role, "live");
      }));

    it("follows an old fencing number where it ignores them", () =>
      doTest(async (port) => {
        await port.order({ kind: "role", role: "live", fencing: 5 });
        await port.order({ kind: "role", role: "mixed", fencing: 4 });
        assert.equal((await port.getState()).role, "mixed");
      }, { settings: { checksFencing: false } }));

    it("keeps the old weights when a load fails", () =>
      doTest(async (port, engine) => {
        engine.faults.add({ operation: "load", kind: "rejected" });
        const target = { model: MODEL, version: 2, fencing: 1 };
        const load = port.order({ kind: "load", ...target });
        await assert.rejects(load, { fault: "rejected" });
        await assert.rejects(port.order({ kind: "switch", ...target }));
        assert.equal((await port.getState()).models[0]?.version, 1);
      }));
  });
}
