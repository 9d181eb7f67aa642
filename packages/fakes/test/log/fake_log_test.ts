import { ManualClock } from "@briarhill/common/time/manual_clock";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { HttpLogService } from "@briarhill/ports/log/http_log_service";
import type { LogService } from "@briarhill/ports/log/log_service";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FakeLog, type FakeLogSettings } from "../../src/log/fake_log.ts";
import { FakeLogServer } from "../../src/log/fake_log_server.ts";
import {
  ACCESSES,
  type ContractCall,
  createSubject,
  type PortUnderTest,
} from "../contract_subject.ts";
import { assertEnding, testPort } from "../contract_table.ts";
import { testStream } from "../stream_table.ts";

const VALUES = ["a", "b", "c", "d", "e"];

/** Fills streams of different lengths, so that each call has an answer of its own. */
function listCalls(log: FakeLog): readonly ContractCall<LogService>[] {
  for (const stream of VALUES.keys()) {
    VALUES.slice(0, stream).forEach((value) =>
      void log.append(`s${stream}`, value)
    );
  }
  return [{
    operation: "append",
    call: (port, number) => port.append(`s${number}`, "x"),
    getExpected: (number) => number,
    countEffects: () => log.countAppends(),
  }, {
    operation: "read",
    call: (port, number) => port.read(`s${number}`, { from: 0 }),
    getExpected: (number) => ({
      records: log.getRecords(`s${number}`),
      first: 0,
      end: number,
    }),
  }];
}

function createUnit(
  settings: Partial<FakeLogSettings> = {},
): PortUnderTest<LogService, FakeLog> {
  return {
    createFake: () => new FakeLog(new SystemClock(), settings),
    createServer: (log) => new FakeLogServer(log),
    createAdapter: (address, limits) => new HttpLogService(address, limits),
    listCalls,
  };
}

testPort(createUnit());

testStream(createUnit(), {
  operation: "read",
  read: async (port, parts) => {
    const page = await port.read("s4", { from: parts.length });
    parts.push(...page.records.map(({ value }) => value));
  },
  expected: VALUES.slice(0, 4),
  rows: [
    ["reordered", ["malformed", "unknown"]],
    ["repeated", ["malformed", "unknown"]],
  ],
});

for (const access of ACCESSES) {
  describe(`records ${access}`, () => {
    async function doTest(
      settings: Partial<FakeLogSettings>,
      run: (port: LogService, log: FakeLog) => Promise<void>,
    ): Promise<void> {
      const subject = await createSubject(createUnit(settings), { access });
      try {
        await run(subject.port, subject.fake);
      } finally {
        await subject.close();
      }
    }

    it("gives offsets in order and pages of a limit", () =>
      doTest({}, async (port) => {
        for (const value of ["a", "b", "ñ\n"]) {
          await port.append("s", value);
        }
        const page = await port.read("s", { from: 1, limit: 1 });
        assert.deepEqual(page.records.map(({ value }) => value), ["b"]);
        const rest = await port.read("s", { from: 2 });
        assert.deepEqual(rest.records.map(({ value }) => value), ["ñ\n"]);
        assert.deepEqual([page.first, page.end], [0, 3]);
      }));

    it("shows the gap that retention leaves", () =>
      doTest({ retentionRecords: 2 }, async (port) => {
        for (const value of ["a", "b", "c"]) {
          await port.append("s", value);
        }
        const page = await port.read("s", { from: 0 });
        assert.deepEqual(page.records.map(({ offset }) => offset), [1, 2]);
        assert.equal(page.first, 1);
      }));

    it("ends a long poll at the first append", () =>
      doTest({}, async (port) => {
        const reading = port.read("s", { from: 0, waitMs: 60_000 });
        await port.append("s", "a");
        assert.equal((await reading).records.length, 1);
      }));

    it("gives a long poll up when it is told to", () =>
      doTest({}, async (port) => {
        const controller = new AbortController();
        const reading = port.read("s", {
          from: 0,
          waitMs: 60_000,
          signal: controller.signal,
        });
        setTimeout(() => controller.abort(), 20);
        await assertEnding(reading, ["cancelled", "unknown"]);
      }));

    it("refuses appends over its rate, truthfully", () =>
      doTest({ appendsPerSecond: 0.001 }, async (port, log) => {
        await port.append("s", "a");
        const over = port.append("s", "b");
        await assertEnding(over, ["rejected", "not-run"]);
        assert.equal(log.getRecords("s").length, 1);
      }));

    it("comes back whole after an outage", () =>
      doTest({}, async (port, log) => {
        await port.append("s", "a");
        log.setOutage("silent");
        log.setOutage("refused");
        await assert.rejects(port.append("s", "b"), { outcome: "not-run" });
        log.setOutage(undefined);
        assert.equal(await port.append("s", "c"), 1);
      }));
  });
}

describe("FakeLog", () => {
  it("drops records after their time", async () => {
    const clock = new ManualClock();
    const log = new FakeLog(clock, { retentionMs: 100 });
    await log.append("s", "a");
    clock.advance(60);
    await log.append("s", "b");
    clock.advance(60);
    const page = await log.read("s", { from: 0 });
    assert.deepEqual([page.first, page.records.length], [1, 1]);
  });
});
