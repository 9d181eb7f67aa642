import { MALFORMED_BODY } from "@briarhill/fakes/platform/response_endings";
import type { LotResult } from "@briarhill/fakes/platform/trainer_calls";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SoakChecks } from "../../src/soak/soak_checks.ts";

function createResult(
  id: string,
  changes: Partial<LotResult> = {},
): LotResult {
  return {
    id,
    state: "completed",
    output: "whole",
    versions: [1],
    score: `s.score-${id}`,
    ...changes,
  };
}

function createOrder(holder: string, fencingToken: number, atMs: number) {
  return { holder, fencingToken, atMs, model: "m0", version: 2 };
}

const leaving = { lateRuns: [] };
const limit = { overruns: [] };
const crash = { crashes: [] };

/** Each defect that is put in must be found as a breach of its promise. */
function testDefect(
  promise: string,
  plant: (checks: SoakChecks) => void,
): void {
  it(`finds a breach of "${promise}"`, () => {
    const checks = new SoakChecks(["whole", "v2-whole"]);
    plant(checks);
    assert.deepEqual(checks.breaches.map((breach) => breach.promise), [
      promise,
    ]);
  });
}

describe("SoakChecks", () => {
  it("finds nothing where all is well", () => {
    const checks = new SoakChecks(["whole", "v2-whole"]);
    checks.checkResults("l", [createResult("a")]);
    checks.checkResults("l", [createResult("a"), createResult("b")]);
    checks.checkResults("l", []);
    checks.checkCall({ id: "c", status: 200, body: "c", signature: "s.c" });
    checks.checkCall({ id: "d", status: 503, body: "", signature: "" });
    checks.checkWhole(new Map([["l", 2]]));
    const orders = [createOrder("h", 1, 0), createOrder("i", 2, 3_000)];
    const runs = [{ attemptId: "c", path: "/", fromEvent: 0 }];
    checks.checkEndpoints([{ runs, orders, leaving, limit, crash }]);
    assert.deepEqual(checks.breaches, []);
  });

  testDefect(
    "a request that crashes endpoints reaches no more of them",
    (checks) => {
      const crashes = [0, 0, 0, 3_001, 3_002, 3_003, 3_004].map((atMs) => ({
        body: "b",
        atMs,
      }));
      checks.checkEndpoints([
        { runs: [], orders: [], leaving, limit, crash: { crashes } },
      ]);
    },
  );
  testDefect("a stream holds the text of one software version", (checks) => {
    checks.checkStream({ id: "s", text: "whole\nv2-whole", isComplete: true });
  });
  testDefect("a position never changes", (checks) => {
    checks.checkResults("l", [createResult("a")]);
    checks.checkResults("l", [createResult("b")]);
  });
  testDefect("a sample is listed once", (checks) => {
    checks.checkResults("l", [createResult("a"), createResult("a")]);
  });
  testDefect("a text is whole", (checks) => {
    checks.checkResults("l", [createResult("a", { output: "who" })]);
  });
  testDefect("a score is the sample's own", (checks) => {
    checks.checkResults("l", [createResult("a", { score: "s.score-b" })]);
  });
  testDefect("an answer is whole and the caller's own", (checks) => {
    checks.checkCall({ id: "c", status: 200, body: "d", signature: "s.d" });
  });
  testDefect("an answer is a server's", (checks) => {
    const body = `a head${MALFORMED_BODY}`;
    checks.checkCall({ id: "c", status: 900, body, signature: "s.c" });
  });
  testDefect("what was refused has not run", (checks) => {
    checks.checkCall({ id: "c", status: 503, body: "", signature: "" });
    const runs = [{ attemptId: "c", path: "/", fromEvent: 0 }];
    checks.checkEndpoints([{ runs, orders: [], leaving, limit, crash }]);
  });
  testDefect("an acknowledged lot is finished", (checks) => {
    checks.checkResults("l", [createResult("a")]);
    checks.checkWhole(new Map([["l", 2]]));
  });
  testDefect("holders take turns slowly", (checks) => {
    const orders = [createOrder("h", 1, 0), createOrder("i", 2, 2_999)];
    checks.checkEndpoints([{ runs: [], orders, leaving, limit, crash }]);
  });
  testDefect("two holders have two numbers", (checks) => {
    const orders = [createOrder("h", 1, 0), createOrder("i", 1, 4_000)];
    checks.checkEndpoints([{ runs: [], orders, leaving, limit, crash }]);
  });
  testDefect("an order's number never falls", (checks) => {
    const orders = [createOrder("h", 2, 0), createOrder("i", 1, 4_000)];
    checks.checkEndpoints([{ runs: [], orders, leaving, limit, crash }]);
  });
  testDefect("all hosts together keep the limit of an endpoint", (checks) => {
    const overruns = [{ ratePerS: 1, requests: 12, allowed: 11 }];
    checks.checkEndpoints([
      { runs: [], orders: [], leaving, limit: { overruns }, crash },
    ]);
  });
  testDefect(
    "an endpoint that says it is leaving gets no new work",
    (checks) => {
      const late = {
        attemptId: "a",
        connection: "127.0.0.1:9000",
        afterMs: 2_001,
      };
      checks.checkEndpoints([
        { runs: [], orders: [], leaving: { lateRuns: [late] }, limit, crash },
      ]);
    },
  );
});
