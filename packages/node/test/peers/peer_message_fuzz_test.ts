import { BriarhillError } from "@briarhill/common/errors/errors";
import fc from "fast-check";
import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { ClaimManager } from "../../src/claims/claim_manager.ts";
import { LogContractSource } from "../../src/configuration/log_contract_source.ts";
import { Generation } from "../../src/generation/generation.ts";
import { LogLeaseManager } from "../../src/leases/log_lease_manager.ts";
import { FixedContracts } from "../fixtures/fixed_contracts.ts";
import { createValues } from "../fixtures/mutations.ts";
import { TrainingBench } from "../fixtures/training_bench.ts";
import {
  createTrainingContract,
  createTrainingLot,
} from "../fixtures/training_fixtures.ts";

const SEED = 83;
const RUNS = 200;
/** Procedures that wait for long spans of virtual time, so they get fewer runs. */
const SLOW_PROCEDURES: readonly string[] = [
  "lots.take",
  "lots.pull",
  "samples.exchange",
];
const SLOW_RUNS = 40;
const TEST_TIMEOUT_MS = 120_000;
const NAME = { customer: "agencia", id: "step-1" };
const SAMPLE = {
  id: "s",
  lot: "step-1",
  slot: 0,
  attempt: 1,
  group: "a",
  indexInGroup: 0,
  text: "river",
  tokens: 1,
  finishReason: "stop",
  spans: [{ fromToken: 0, toToken: 1, version: 1 }],
  score: 0.5,
};
const WORK = {
  lot: createTrainingLot(),
  group: { id: "a", prompt: "river" },
  slot: 0,
  indexInGroup: 0,
  attempt: 1,
  expectedTokens: 8,
  prefix: { text: "ri", tokens: 1, spans: SAMPLE.spans },
};
const CORPUS: Readonly<Record<string, readonly unknown[]>> = {
  "lots.keep": [{ lot: createTrainingLot(), part: 0, parts: 1 }],
  "lots.give": [{ ...NAME, samples: [SAMPLE] }],
  "lots.open": [{ incarnation: 1, counts: { agencia: 1 } }],
  "lots.probe": [{}],
  "lots.copy": [NAME],
  "lots.take": [{ ...NAME, after: -1 }],
  "lots.pull": [{ ...NAME, cursor: 0, limit: 2, waitMs: 10 }],
  "lots.progress": [NAME],
  "lots.cancel": [NAME],
  "samples.exchange": [{
    owner: 1,
    sequence: 1,
    incarnation: 1,
    runs: [{ number: 1, work: WORK }],
    cancels: [2],
    taken: [3],
    waitMs: 10,
  }],
  "claims.claim": [{
    callId: "c",
    keyHash: "0".repeat(32),
    holder: "host-1",
    incarnation: 1,
    supersedes: "b",
  }],
  "claims.report": [{ callId: "c" }],
  "configuration": [{ offset: 3 }],
  "configuration.fetch": [{ after: -1 }],
  "leaving": [[{ id: "engine-1", incarnation: 0 }]],
  "shares.record": [{ kind: "part", sums: [1, 2, 3, [["agencia", 1, 2]]] }],
};

describe(
  "handlers of messages between hosts",
  { timeout: TEST_TIMEOUT_MS },
  () => {
    const bench = new TrainingBench();
    before(async () => {
      const { context } = await bench.start("host-1");
      await bench.start("host-2");
      const { peers: [peers] } = bench.hub;
      assert.ok(peers !== undefined);
      const contracts = new FixedContracts([createTrainingContract()]);
      const directory = bench.getDirectory("host-1");
      new ClaimManager(context, peers);
      new Generation(context, { contracts, directory, peers });
      new LogContractSource(context, {
        leases: new LogLeaseManager(context),
        peers,
      });
    });

    it("are all covered by the corpus", () => {
      const registered = [...bench.hub.peers[0]?.handlers.keys() ?? []];
      assert.deepEqual(registered.toSorted(), Object.keys(CORPUS).toSorted());
    });

    for (const [procedure, corpus] of Object.entries(CORPUS)) {
      it(`${procedure} resolves, or rejects with a BriarhillError other than StateError`, () =>
        fc.assert(
          fc.asyncProperty(createValues(corpus), async (input) => {
            const handler = bench.hub.peers[0]?.handlers.get(procedure);
            try {
              await bench.run((async () => await handler?.(input, "host-2"))());
            } catch (error) {
              assert(error instanceof BriarhillError, String(error));
              assert.notEqual(error.name, "StateError");
            }
          }),
          {
            seed: SEED,
            numRuns: SLOW_PROCEDURES.includes(procedure) ? SLOW_RUNS : RUNS,
          },
        ));
    }
  },
);
