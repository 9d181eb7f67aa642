import fc from "fast-check";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createTexts } from "../fixtures/mutations.ts";
import { RoutesBench } from "../fixtures/routes_bench.ts";

const SEED = 73;
const RUNS = 300;
const TIMEOUT_MS = 120_000;
const LOTS: readonly unknown[] = [
  {
    step: 1,
    model: "names-es",
    adapter: "coast",
    groups: [{ id: "a", prompt: "river" }, { id: "b", prompt: "hill" }],
    samplesPerGroup: 2,
    sampling: { temperature: 1, topP: 1, maxTokens: 8, seed: 4, stop: ["x"] },
    deadlineMs: 60_000,
  },
];
const VERSIONS: readonly unknown[] = [{ version: 2 }, { version: 0 }];
const TEXTS = ["0", "1", "-1", "1e9", "NaN", "", "9".repeat(20), "%00"];

describe("TrainerRoutes", { timeout: TIMEOUT_MS }, () => {
  let bench: RoutesBench;
  let number = 0;
  before(async () => {
    bench = new RoutesBench();
    await bench.start();
  });
  after(() => bench.stop());

  it("accepts any lot or rejects it with the outcome not-run", () =>
    fc.assert(
      fc.asyncProperty(createTexts(LOTS), async (body) => {
        const path = `/v1/rollouts/lots/lot-${number++}`;
        const { status, outcome } = await bench.send({
          method: "PUT",
          path,
          body,
        });
        if (status === 202) {
          await bench.send({ method: "DELETE", path });
        } else {
          assert.equal(outcome, "not-run", body);
        }
      }),
      { seed: SEED, numRuns: RUNS },
    ));

  it("accepts any version or rejects it with the outcome not-run", () =>
    fc.assert(
      fc.asyncProperty(
        createTexts(VERSIONS),
        fc.constantFrom("names-es", "other", "%ff", "a%2fb"),
        async (body, model) => {
          const path = `/v1/rollouts/models/${model}/versions`;
          const { status, outcome } = await bench.send({
            method: "POST",
            path,
            body,
          });
          assert.equal(outcome, status === 202 ? undefined : "not-run", body);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    ));

  it("responds to any pull", async () => {
    const path = "/v1/rollouts/lots/pulled";
    const body = JSON.stringify(LOTS[0]);
    const { status } = await bench.send({ method: "PUT", path, body });
    assert.equal(status, 202);
    const text = fc.constantFrom(...TEXTS);
    await fc.assert(
      fc.asyncProperty(text, text, fc.constantFrom("pulled", "other", "%ff"), (
        cursor,
        limit,
        id,
      ) => {
        const query = `cursor=${cursor}&limit=${limit}&wait_ms=1`;
        const pull = `/v1/rollouts/lots/${id}/samples?${query}`;
        return bench.send({ method: "GET", path: pull }).then(() => undefined);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
