import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import {
  BriarhillError,
  PortError,
  RefusedError,
  RepeatedCallError,
} from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import { ManualClock } from "@briarhill/common/time/manual_clock";
import { FakeLog } from "@briarhill/fakes/log/fake_log";
import { ClaimedCalls } from "../../src/claims/claimed_calls.ts";
import { ClaimKeeper } from "../../src/claims/claim_keeper.ts";
import type { ServiceResponse } from "@briarhill/ports/service/service";
import { advance, createContext, settle } from "../fixtures/call_fixtures.ts";
import { PeerHub } from "../fixtures/peer_hub.ts";

function createBench() {
  const clock = new ManualClock(1000);
  const log = new FakeLog(clock);
  const hub = new PeerHub();
  const runs: string[] = [];
  const addHost = (host: string, incarnation = 1) => {
    const context = createContext(clock, { log, host });
    const peers = hub.add(host, incarnation);
    return new ClaimedCalls(context, new ClaimKeeper(context, peers));
  };
  const hosts = ["h1", "h2", "h3"].map((host) => addHost(host));
  const caller = new AbortController();
  const call = async (
    host: number,
    key: string,
    fault?: Outcome,
  ): Promise<string> => {
    const calls = hosts[host];
    assert.ok(calls !== undefined);
    const response = await calls.run({
      customer: "maison",
      service: "quotes",
      idempotencyKey: key,
      deadlineMs: clock.getMonotonicMs() + 5000,
      caller: caller.signal,
      send: () => send(key, fault),
    });
    return await readText(response);
  };
  const send = async (key: string, fault?: Outcome) => {
    if (fault !== "not-run") {
      runs.push(key);
    }
    await clock.sleep(200);
    if (fault !== undefined) {
      throw new PortError("broken", { props: { outcome: fault } });
    }
    return createResponse(`answer ${runs.length}`);
  };
  const crash = (host: number) => {
    hosts[host] = addHost(`h${host + 1}`, 2);
  };
  return { clock, log, hub, hosts, runs, caller, call, crash };
}

function createResponse(text: string): ServiceResponse {
  async function* read() {
    yield Buffer.from(text);
  }
  return { status: 200, headers: {}, body: read() };
}

async function readText(response: ServiceResponse): Promise<string> {
  const parts: Uint8Array[] = [];
  for await (const part of response.body) {
    parts.push(part);
  }
  return Buffer.concat(parts).toString();
}

type Bench = ReturnType<typeof createBench>;

/** Runs a step whose failure is told as its outcome. */
async function getEnd(bench: Bench, answer: Promise<string>): Promise<string> {
  try {
    return await settle(bench.clock, answer);
  } catch (error) {
    assert.ok(error instanceof BriarhillError);
    const kind = error instanceof RepeatedCallError
      ? "repeated"
      : error instanceof RefusedError
      ? "refused"
      : "broken";
    return `${kind} ${error.outcome}`;
  }
}

describe("ClaimedCalls.run, fault table", () => {
  const rows: [
    string,
    (bench: Bench) => Promise<string[]>,
    string[],
    number,
  ][] = [
    [
      "a repeat at another host gets the first answer",
      async (bench) => [
        await getEnd(bench, bench.call(0, "k")),
        await getEnd(bench, bench.call(1, "k")),
      ],
      ["answer 1", "answer 1"],
      1,
    ],
    [
      "a repeat while the first runs waits for it",
      async (bench) => {
        const both = [bench.call(0, "k"), bench.call(2, "k")];
        return await settle(bench.clock, Promise.all(both));
      },
      ["answer 1", "answer 1"],
      1,
    ],
    [
      "after a crash of the first host a repeat is unknown",
      async (bench) => {
        const first = await getEnd(bench, bench.call(0, "k"));
        bench.crash(0);
        return [first, await getEnd(bench, bench.call(1, "k"))];
      },
      ["answer 1", "repeated unknown"],
      1,
    ],
    [
      "a repeat behind a partition is unknown",
      async (bench) => {
        const first = await getEnd(bench, bench.call(0, "k"));
        bench.hub.cutOff.add("h1");
        return [first, await getEnd(bench, bench.call(1, "k"))];
      },
      ["answer 1", "repeated unknown"],
      1,
    ],
    [
      "with the log down the call is refused, and was not run",
      async (bench) => {
        bench.log.setOutage("refused");
        return [await getEnd(bench, bench.call(0, "k"))];
      },
      ["refused not-run"],
      0,
    ],
    [
      "after the outage the same key runs",
      async (bench) => {
        bench.log.setOutage("refused");
        const first = await getEnd(bench, bench.call(0, "k"));
        bench.log.setOutage(undefined);
        return [first, await getEnd(bench, bench.call(1, "k"))];
      },
      ["refused not-run", "answer 1"],
      1,
    ],
    [
      "a lost answer to the append is read back",
      async (bench) => {
        bench.log.faults.add({
          operation: "append",
          kind: "silent",
          when: "after",
        });
        return [await getEnd(bench, bench.call(0, "k"))];
      },
      ["answer 1"],
      1,
    ],
    [
      "an append that lands though its call was given up",
      async (bench) => {
        bench.log.faults.add({
          operation: "append",
          kind: "silent",
          when: "after",
        });
        bench.log.faults.add({ operation: "read", kind: "refused", times: 40 });
        const first = await getEnd(bench, bench.call(0, "k"));
        bench.log.faults.clear();
        return [first, await getEnd(bench, bench.call(1, "k"))];
      },
      ["refused not-run", "answer 1"],
      1,
    ],
    [
      "a call that was not run lets a repeat run",
      async (bench) => [
        await getEnd(bench, bench.call(0, "k", "not-run")),
        await getEnd(bench, bench.call(1, "k")),
      ],
      ["broken not-run", "answer 1"],
      1,
    ],
    [
      "a call that may have run does not",
      async (bench) => [
        await getEnd(bench, bench.call(0, "k", "unknown")),
        await getEnd(bench, bench.call(1, "k")),
      ],
      ["broken unknown", "repeated unknown"],
      1,
    ],
  ];
  for (const [name, run, expected, runs] of rows) {
    it(name, async () => {
      const bench = createBench();
      assert.deepEqual(await run(bench), expected);
      assert.equal(bench.runs.length, runs);
    });
  }

  it("waits for a call whose caller has left, and counts it", async () => {
    for (const fault of [undefined, "not-run", "unknown"] as const) {
      const bench = createBench();
      const running = bench.hosts[0]?.running;
      assert.ok(running !== undefined);
      const answer = bench.call(0, "k", fault);
      answer.catch(() => undefined);
      await advance(bench.clock, 100);
      assert.equal(running.countLeft(), 0);
      bench.caller.abort();
      assert.equal(running.countLeft(), 1);
      let isIdle = false;
      const idle = running.waitUntilIdle().then(() => isIdle = true);
      assert.ok(!isIdle);
      await settle(bench.clock, idle);
      assert.equal(running.countLeft(), 0);
      assert.equal(bench.runs.length, fault === "not-run" ? 0 : 1);
    }
  });

  it("claims many keys with few appends", async () => {
    const bench = createBench();
    const calls = Array.from(
      { length: 200 },
      (_, index) => bench.call(index % 3, `k${index}`),
    );
    await settle(bench.clock, Promise.all(calls));
    assert.equal(bench.runs.length, 200);
    assert.ok(bench.log.countAppends() <= 20, `${bench.log.countAppends()}`);
  });
});
