import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  BriarhillError,
  DeadlineError,
  RefusedError,
} from "@briarhill/common/errors/errors";
import type { Fault } from "@briarhill/fakes/faults/fault";
import type {
  GenerationRequest,
  Generator,
} from "../../src/generation/generator.ts";
import {
  advance,
  createGeneration,
  createGenerationBench,
  settle,
} from "../fixtures/call_fixtures.ts";
import { PeerHub } from "../fixtures/peer_hub.ts";

async function collect(
  generator: Generator,
  generation: GenerationRequest,
  signal?: AbortSignal,
): Promise<string> {
  let text = "";
  let next = 0;
  let reason: string | undefined;
  for await (const chunk of generator.generate(generation, signal)) {
    assert.equal(chunk.fromToken, next, "no token is missing or repeated");
    assert.equal(chunk.version, 1);
    next += chunk.tokens.length;
    text += chunk.tokens.join("");
    reason = chunk.finishReason;
  }
  assert.ok(reason !== undefined, "the last chunk has a finish reason");
  return text;
}

async function generateComplete(): Promise<string> {
  const { clock, generator, stopping } = await createGenerationBench();
  const text = await settle(clock, collect(generator, createGeneration()));
  stopping.abort();
  return text;
}

describe("RoutedGenerator.generate, faults", () => {
  const generate = { operation: "generate" };
  const rows: [string, Fault][] = [
    ["resets the open stream", { ...generate, kind: "reset", afterChunks: 5 }],
    ["reports silence", { ...generate, kind: "silent", afterChunks: 5 }],
    ["ends too early", { ...generate, kind: "incomplete", afterChunks: 5 }],
    ["repeats a chunk", { ...generate, kind: "repeated", afterChunks: 5 }],
    ["swaps two chunks", { ...generate, kind: "reordered", afterChunks: 5 }],
    ["refuses the dial", { ...generate, kind: "refused" }],
    ["rejects the request", { ...generate, kind: "rejected" }],
    ["resets before the first chunk", { ...generate, kind: "reset" }],
    ["sends a bad chunk", { ...generate, kind: "malformed", afterChunks: 3 }],
  ];
  for (const [name, fault] of rows) {
    it(`yields the complete response if an engine ${name}`, async () => {
      const expected = await generateComplete();
      const { clock, engines, generator, stopping } =
        await createGenerationBench();
      engines.forEach((engine) => engine.faults.add(fault));
      const text = await settle(clock, collect(generator, createGeneration()));
      assert.equal(text, expected);
      stopping.abort();
    });
  }

  it("resumes on another engine after a crash of the first one", async () => {
    const expected = await generateComplete();
    const { clock, engines, generator, stopping } =
      await createGenerationBench();
    const response = collect(generator, createGeneration());
    response.catch(() => undefined);
    await advance(clock, 100);
    const usedEngine = engines.find((engine) =>
      engine.getReceived().length > 0
    );
    usedEngine?.faults.add({ ...generate, kind: "refused", times: 100 });
    usedEngine?.startAnew();
    assert.equal(await settle(clock, response), expected);
    const used = engines.filter((engine) => engine.getReceived().length > 0);
    assert.equal(used.length, 2);
    assert.ok(
      used.some((engine) =>
        engine.getReceived().some(({ request }) => request.fromToken > 0)
      ),
    );
    stopping.abort();
  });

  it("redials a silent stream at the same engine without recording a failure", async () => {
    const expected = await generateComplete();
    const { clock, engines, generator, stopping } = await createGenerationBench(
      { engines: 1 },
    );
    const [engine] = engines;
    assert.ok(engine !== undefined);
    const generateAtEngine = engine.generate.bind(engine);
    let dials = 0;
    engine.generate = async function* (request, signal) {
      const isFirst = dials++ === 0;
      for await (const chunk of generateAtEngine(request, signal)) {
        yield chunk;
        if (isFirst && chunk.fromToken >= 10) {
          await new Promise(() => undefined);
        }
      }
    };
    const text = await settle(clock, collect(generator, createGeneration()));
    assert.equal(text, expected);
    assert.equal(dials, 2);
    assert.ok(engine.getReceived()[1]?.resumed, "the stream was resumed");
    stopping.abort();
  });

  it("reports the outcome not-run only if no engine can have run the request", async () => {
    const rows = [["refused", "not-run"], ["reset", "unknown"]] as const;
    for (const [kind, outcome] of rows) {
      const { clock, engines, generator, stopping } =
        await createGenerationBench();
      engines.forEach((engine) =>
        engine.faults.add({ operation: "generate", kind, times: 100 })
      );
      await assert.rejects(
        settle(clock, collect(generator, createGeneration())),
        (error) => error instanceof BriarhillError && error.outcome === outcome,
      );
      stopping.abort();
    }
  });

  it("ends at its deadline and on cancellation, also at the engine", async () => {
    const { clock, engines, generator, stopping } =
      await createGenerationBench();
    const deadlineMs = clock.getMonotonicMs() + 100;
    const late = createGeneration({ deadlineMs, expectedTokens: 1 });
    await assert.rejects(
      settle(clock, collect(generator, late)),
      DeadlineError,
    );
    const caller = new AbortController();
    const response = collect(generator, createGeneration(), caller.signal);
    response.catch(() => undefined);
    await advance(clock, 100);
    caller.abort();
    await assert.rejects(settle(clock, response));
    await advance(clock, 1000);
    for (const engine of engines) {
      assert.equal((await settle(clock, engine.getLoad())).running, 0);
    }
    stopping.abort();
  });

  it("refuses a request of a customer without a contract immediately", async () => {
    const { clock, generator, stopping } = await createGenerationBench();
    const unknown = createGeneration({ customer: "nobody" });
    await assert.rejects(
      settle(clock, collect(generator, unknown)),
      RefusedError,
    );
    stopping.abort();
  });
});

describe("PollingEndpointDirectory, leaving endpoints", () => {
  const rows: [string, boolean][] = [
    ["its own report", false],
    ["a report of a peer", true],
  ];
  for (const [name, byPeer] of rows) {
    it(`get no new requests 3 s after ${name}, and finish the running ones`, async () => {
      const hub = new PeerHub();
      const { clock, engines, generator, stopping } =
        await createGenerationBench({ engines: 2, hub });
      const [leaving] = engines;
      assert.ok(leaving !== undefined);
      const running = [0, 1, 2, 3].map(() =>
        collect(generator, createGeneration())
      );
      await advance(clock, 50);
      if (byPeer) {
        const payload = [{ id: "engine-1", incarnation: 1 }];
        hub.add("host-2").publish("leaving", payload);
      } else {
        leaving.setLeaving();
      }
      const expected = await generateComplete();
      for (const text of await settle(clock, Promise.all(running))) {
        assert.equal(text, expected);
      }
      await advance(clock, 3000);
      const before = leaving.getReceived().length;
      for (let count = 0; count < 8; count++) {
        await settle(clock, collect(generator, createGeneration()));
      }
      assert.equal(leaving.getReceived().length, before);
      stopping.abort();
    });
  }
});

describe("RoutedGenerator.generate, hedged", () => {
  const CALLS = 60;
  const generate = { operation: "generate", kind: "slow" } as const;

  async function doHedgeTest(
    engines: number,
    expected: { readonly dials: number; readonly maxMs: number },
  ): Promise<void> {
    const bench = await createGenerationBench({ engines });
    const { clock, generator, stopping } = bench;
    const run = () => settle(clock, collect(generator, createGeneration()));
    const expectedText = await run();
    for (let call = 1; call < CALLS; call++) {
      await run();
    }
    const countDials = () =>
      bench.engines.reduce((sum, it) => sum + it.getReceived().length, 0);
    const before = countDials();
    bench.engines.forEach((engine, index) => {
      const delayMs = index === 0 ? 4000 : 0;
      engine.faults.add({ ...generate, delayMs, times: 1 });
    });
    // Only the first engine is slow, so calls are repeated until it is picked.
    let longestMs = 0;
    for (let call = 0; call < 10; call++) {
      const callMs = clock.getMonotonicMs();
      assert.equal(await run(), expectedText);
      longestMs = Math.max(longestMs, clock.getMonotonicMs() - callMs);
    }
    assert.ok(longestMs < expected.maxMs, `${longestMs} ms`);
    await advance(clock, 5000);
    assert.equal(countDials() - before, 10 + expected.dials);
    stopping.abort();
  }

  it("dials a second engine if the first is late, and yields its complete response", async () => {
    await doHedgeTest(2, { dials: 1, maxMs: 4000 });
  });

  it("waits for the first engine if there is no other one", async () => {
    await doHedgeTest(1, { dials: 0, maxMs: 6000 });
  });
});
