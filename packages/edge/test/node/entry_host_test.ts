import { OPERATOR_TOPIC } from "@briarhill/platform/names/topics";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { PlatformFixture } from "./platform_fixture.ts";

const COMPLETE_TEXT = Array.from({ length: 8 }, (_, id) => `e${id}`).join("\n");

describe("EntryHost", () => {
  const platform = new PlatformFixture(21_300);
  before(() => platform.startHosts(2));
  after(() => platform.stopHosts());

  it("answers a live call with the endpoint's unchanged body and signature", async () => {
    const answer = await platform.call(0, "POST", "/app/query", {
      headers: {
        "X-Briarhill-Attempt-Id": "call-1",
        "X-Briarhill-Deadline-Ms": "2000",
      },
      body: "question",
    });
    assert.equal(answer.status, 200);
    assert.equal(answer.body.toString(), "question");
    assert.match(
      String(answer.headers["x-briarhill-server-signature"]),
      /^service-\d\.call-1$/,
    );
  });

  it("answers 404 to a request that matches no route", async () => {
    assert.equal((await platform.call(0, "GET", "/other/")).status, 404);
    const headers = { host: "other.example" };
    const answer = await platform.call(0, "GET", "/app/", { headers });
    assert.equal(answer.status, 404);
  });

  it("runs and scores a lot and returns the same results and positions at every host", async () => {
    assert.equal((await platform.sendLot(0, "lot-a", 6)).status, 202);
    assert.equal((await platform.sendLot(1, "lot-a", 6)).status, 202);
    const results = await platform.waitResults(0, "lot-a", 6);
    assert.equal(results.length, 6);
    for (const { id, state, output, versions, score } of results) {
      assert.equal(state, "completed");
      assert.equal(output, COMPLETE_TEXT);
      assert.deepEqual(versions, [1]);
      assert.match(score, new RegExp(`\\.score-${id}$`));
    }
    assert.deepEqual(await platform.waitResults(1, "lot-a", 6), results);
    const runs = platform.engines.flatMap(({ runs }) => runs)
      .filter(({ attemptId }) => attemptId.startsWith("lot-a-"));
    assert.equal(runs.length, 6);
  });

  it("returns sample bodies, ends a lot at every host, and answers 404 for a lot that was not submitted", async () => {
    const body = await platform.call(
      1,
      "GET",
      "/briarhill/items/lot-a?id=lot-a-1",
    );
    assert.equal(body.body.toString(), "prompt 1");
    for (const host of [0, 1]) {
      const ended = await platform.call(
        host,
        "DELETE",
        "/briarhill/lots/lot-a",
      );
      assert.equal(ended.status, 200);
    }
    const missing = await platform.call(0, "GET", "/briarhill/lots/lot-x");
    assert.equal(missing.status, 404);
  });

  it("answers 400 to a lot that can't be decoded", async () => {
    const answer = await platform.call(0, "POST", "/rollout/x", {
      headers: { "X-Briarhill-Attempt-Id": "lot-bad" },
      body: '{"items":[3]}',
    });
    assert.equal(answer.status, 400);
  });

  it("resumes a sample at the event after which its stream was cut", async () => {
    const [first, second] = platform.engines;
    assert.ok(first !== undefined && second !== undefined);
    first.breakAfter = 3;
    second.breakAfter = 3;
    await platform.sendLot(0, "lot-b", 2);
    const results = await platform.waitResults(0, "lot-b", 2);
    first.breakAfter = Infinity;
    second.breakAfter = Infinity;
    assert.deepEqual(results.map(({ output }) => output), [
      COMPLETE_TEXT,
      COMPLETE_TEXT,
    ]);
    for (const { id } of results) {
      const starts: readonly number[] = [...first.runs, ...second.runs]
        .filter(({ attemptId }) => attemptId === id)
        .map(({ fromEvent }) => fromEvent).toSorted((a, b) => a - b);
      // An attempt that is slow to start is moved before its third event: 0, 2, 5.
      assert.equal(starts[0], 0, `${starts}`);
      assert.ok((starts.at(-1) ?? 0) >= 5, `${starts}`);
      starts.slice(1).forEach((start, index) =>
        assert.ok(start - (starts[index] ?? 0) <= 3, `${starts}`)
      );
    }
  });

  it("accepts a lot through the other host while the store rejects this one", async () => {
    platform.store.setBehavior("busy", platform.getIp(0));
    assert.equal((await platform.sendLot(0, "lot-c", 2)).status, 202);
    assert.equal((await platform.waitResults(0, "lot-c", 2)).length, 2);
    platform.store.setBehavior("well", platform.getIp(0));
  });

  it("stores a lot exactly once if the response to its append is lost", async () => {
    platform.store.setBehavior("lost");
    const submission = platform.sendLot(1, "lot-d", 2);
    await new Promise((resolve) => setTimeout(resolve, 600));
    platform.store.setBehavior("well");
    assert.equal((await submission).status, 202);
    const results = await platform.waitResults(0, "lot-d", 2);
    const ids = results.map(({ id }) => id);
    assert.equal(new Set(ids).size, 2);
  });

  it("orders half of the engines to load each published version, under one lease holder", async () => {
    platform.store.publish(OPERATOR_TOPIC, "version/m0", {
      model: "m0",
      version: 2,
    });
    const listOrders = () => platform.engines.flatMap(({ orders }) => orders);
    await platform.waitFor(() => Promise.resolve(listOrders().length === 1));
    platform.store.publish(OPERATOR_TOPIC, "version/m0", {
      model: "m0",
      version: 3,
    });
    await platform.waitFor(() => Promise.resolve(listOrders().length === 2));
    const orders = listOrders();
    assert.deepEqual(
      orders.map(({ version }) => version).toSorted(),
      [2, 3],
    );
    assert.equal(new Set(orders.map(({ holder }) => holder)).size, 1);
    assert.equal(
      new Set(orders.map(({ fencingToken }) => fencingToken)).size,
      1,
    );
  });

  it("sends no requests to endpoints whose responses report that they are leaving", async () => {
    const leaving = [platform.engines[0], platform.services[0]]
      .filter((endpoint) => endpoint !== undefined);
    const countRuns = () => leaving.map(({ runs }) => runs.length);
    const runLot = async (lot: string) => {
      assert.equal((await platform.sendLot(0, lot, 6)).status, 202);
      await platform.waitResults(0, lot, 6);
    };
    const runsBefore = countRuns();
    leaving.forEach((endpoint) => endpoint.leaving.start());
    // All samples of a model run at one host, which must be notified by both endpoints.
    await platform.waitFor(async () => {
      await runLot(`lot-f-${Date.now()}`);
      return countRuns().every((runs, index) =>
        runs > (runsBefore[index] ?? 0)
      );
    });
    const runsOnceLeaving = countRuns();
    await runLot("lot-g");
    assert.deepEqual(countRuns(), runsOnceLeaving);
    leaving.forEach((endpoint) => endpoint.startIncarnation());
    await platform.waitFor(async () => {
      await runLot(`lot-h-${Date.now()}`);
      return countRuns().every((runs, index) =>
        runs > (runsOnceLeaving[index] ?? 0)
      );
    });
  });

  it("continues after the store has dropped its history and reassigned the shards of its groups", async () => {
    platform.store.clearHistory();
    platform.store.assignAllPartitions();
    assert.equal((await platform.sendLot(1, "lot-e", 4)).status, 202);
    assert.equal((await platform.waitResults(0, "lot-e", 4)).length, 4);
    assert.equal((await platform.waitResults(0, "lot-d", 2)).length, 2);
  });
});
