import fc from "fast-check";
import { after, before, describe, it } from "node:test";
import { createTexts } from "../fixtures/mutations.ts";
import { RoutesBench } from "../fixtures/routes_bench.ts";

const SEED = 71;
const RUNS = 300;
const TEST_TIMEOUT_MS = 120_000;
const COMMON_FIELDS = {
  model: "names-es",
  max_tokens: 4,
  temperature: 0.5,
  top_p: 1,
  seed: 3,
  stop: ["\n"],
  n: 1,
};
const COMPLETIONS: readonly unknown[] = [
  { ...COMMON_FIELDS, prompt: "a bridge" },
  { ...COMMON_FIELDS, prompt: "a bridge", stream: true },
  { model: "names-es", prompt: "", stream_options: { include_usage: true } },
];
const CHATS: readonly unknown[] = [
  { ...COMMON_FIELDS, messages: [{ role: "user", content: "a bridge" }] },
  {
    ...COMMON_FIELDS,
    stream: true,
    stream_options: { include_usage: true },
    messages: [
      { role: "system", content: [{ type: "text", text: "be short" }] },
      { role: "user", content: "a square" },
    ],
  },
];

describe("CompletionRoutes", { timeout: TEST_TIMEOUT_MS }, () => {
  let bench: RoutesBench;
  before(async () => {
    bench = new RoutesBench();
    await bench.start();
  });
  after(() => bench.stop());

  async function doTest(path: string, corpus: readonly unknown[]) {
    await fc.assert(
      fc.asyncProperty(
        createTexts(corpus),
        (body) => bench.sendAndCheckOutcome({ method: "POST", path, body }),
      ),
      { seed: SEED, numRuns: RUNS },
    );
  }

  it("responds to any completion body completely or with an error that states the true outcome", () =>
    doTest("/v1/completions", COMPLETIONS));

  it("responds to any chat body completely or with an error that states the true outcome", () =>
    doTest("/v1/chat/completions", CHATS));
});
