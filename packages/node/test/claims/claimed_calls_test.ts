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
import { ClaimManager } from "../../src/claims/claim_manager.ts";
import type { ServiceResponse } from "@briarhill/ports/service/service";
import { advance, createContext, settle } from "../fixtures/call_fixtures.ts";
import { PeerHub } from "../fixtures/peer_hub.ts";

function createSetup() {
  const clock = new ManualClock(1000);
  const log = new FakeLog(clock);
  const hub = new PeerHub();
  const runs: string[] = [];
  const addHost = (host: string, incarnation = 1) => {
    const context = createContext(clock, { log, host });
    const peers = hub.add(host, incarnation);
    return new ClaimedCalls(context, new ClaimManager(context, peers));
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
  const chunks: Uint8Array[] = [];
  for await (const chunk of response.body) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

type Setup = ReturnType<typeof createSetup>;

/** Returns the response, or the kind and outcome of the error. */
async function getOutcome(
  setup: Setup,
  response: Promise<string>,
): Promise<string> {
  try {
    return await settle(setup.clock, response);
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

describe("ClaimedCalls.run, faults", () => {
  const rows: [
    string,
    (setup: Setup) => Promise<string[]>,
    string[],
    number,
  ][] = [
    [
      "replays the first response to a repeat at another host",
      async (setup) => [
        await getOutcome(setup, setup.call(0, "k")),
        await getOutcome(setup, setup.call(1, "k")),
      ],
      ["answer 1", "answer 1"],
      1,
    ],
    [
      "lets a repeat wait while the first call is running",
      async (setup) => {
        const both = [setup.call(0, "k"), setup.call(2, "k")];
        return await settle(setup.clock, Promise.all(both));
      },
      ["answer 1", "answer 1"],
      1,
    ],
    [
      "reports an unknown outcome to a repeat after a crash of the first host",
      async (setup) => {
        const first = await getOutcome(setup, setup.call(0, "k"));
        setup.crash(0);
        return [first, await getOutcome(setup, setup.call(1, "k"))];
      },
      ["answer 1", "repeated unknown"],
      1,
    ],
    [
      "reports an unknown outcome to a repeat if the first host is partitioned",
      async (setup) => {
        const first = await getOutcome(setup, setup.call(0, "k"));
        setup.hub.cutOff.add("h1");
        return [first, await getOutcome(setup, setup.call(1, "k"))];
      },
      ["answer 1", "repeated unknown"],
      1,
    ],
    [
      "refuses a call without running it while the log is down",
      async (setup) => {
        setup.log.setOutage("refused");
        return [await getOutcome(setup, setup.call(0, "k"))];
      },
      ["refused not-run"],
      0,
    ],
    [
      "runs a call with the same key after an outage of the log",
      async (setup) => {
        setup.log.setOutage("refused");
        const first = await getOutcome(setup, setup.call(0, "k"));
        setup.log.setOutage(undefined);
        return [first, await getOutcome(setup, setup.call(1, "k"))];
      },
      ["refused not-run", "answer 1"],
      1,
    ],
    [
      "runs a call whose append succeeded but lost its response",
      async (setup) => {
        setup.log.faults.add({
          operation: "append",
          kind: "silent",
          when: "after",
        });
        return [await getOutcome(setup, setup.call(0, "k"))];
      },
      ["answer 1"],
      1,
    ],
    [
      "runs a repeat if the first call was refused although its claim was appended",
      async (setup) => {
        setup.log.faults.add({
          operation: "append",
          kind: "silent",
          when: "after",
        });
        setup.log.faults.add({ operation: "read", kind: "refused", times: 40 });
        const first = await getOutcome(setup, setup.call(0, "k"));
        setup.log.faults.clear();
        return [first, await getOutcome(setup, setup.call(1, "k"))];
      },
      ["refused not-run", "answer 1"],
      1,
    ],
    [
      "runs a repeat if the first call was not run",
      async (setup) => [
        await getOutcome(setup, setup.call(0, "k", "not-run")),
        await getOutcome(setup, setup.call(1, "k")),
      ],
      ["broken not-run", "answer 1"],
      1,
    ],
    [
      "does not run a repeat if the first call may have run",
      async (setup) => [
        await getOutcome(setup, setup.call(0, "k", "unknown")),
        await getOutcome(setup, setup.call(1, "k")),
      ],
      ["broken unknown", "repeated unknown"],
      1,
    ],
  ];
  for (const [name, run, expected, runs] of rows) {
    it(name, async () => {
      const setup = createSetup();
      assert.deepEqual(await run(setup), expected);
      assert.equal(setup.runs.length, runs);
    });
  }

  it("waits for a call whose caller has disconnected, and counts it", async () => {
    for (const fault of [undefined, "not-run", "unknown"] as const) {
      const setup = createSetup();
      const running = setup.hosts[0]?.running;
      assert.ok(running !== undefined);
      const response = setup.call(0, "k", fault);
      response.catch(() => undefined);
      await advance(setup.clock, 100);
      assert.equal(running.countDisconnected(), 0);
      setup.caller.abort();
      assert.equal(running.countDisconnected(), 1);
      let isIdle = false;
      const idle = running.waitUntilIdle().then(() => isIdle = true);
      assert.ok(!isIdle);
      await settle(setup.clock, idle);
      assert.equal(running.countDisconnected(), 0);
      assert.equal(setup.runs.length, fault === "not-run" ? 0 : 1);
    }
  });

  it("claims 200 keys with at most 20 appends", async () => {
    const setup = createSetup();
    const calls = Array.from(
      { length: 200 },
      (_, index) => setup.call(index % 3, `k${index}`),
    );
    await settle(setup.clock, Promise.all(calls));
    assert.equal(setup.runs.length, 200);
    assert.ok(setup.log.countAppends() <= 20, `${setup.log.countAppends()}`);
  });
});
