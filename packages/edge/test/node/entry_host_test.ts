import { OPERATOR_TOPIC } from "@briarhill/platform/names/topics";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { PlatformFixture } from "./platform_fixture.ts";

const WHOLE_TEXT = Array.from({ length: 8 }, (_, id) => `e${id}`).join("\n");

describe("EntryHost", () => {
  const platform = new PlatformFixture(21_300);
  before(() => platform.startHosts(2));
  after(() => platform.stopHosts());

  it("answers a live call with the endpoint's own bytes and signature", async () => {
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

  it("answers 404 where no route takes a request", async () => {
    assert.equal((await platform.call(0, "GET", "/other/")).status, 404);
    const headers = { host: "other.example" };
    const answer = await platform.call(0, "GET", "/app/", { headers });
    assert.equal(answer.status, 404);
  });

  it("runs and scores a lot, with the same positions at every host", async () => {
    assert.equal((await platform.sendLot(0, "lot-a", 6)).status, 202);
    assert.equal((await platform.sendLot(1, "lot-a", 6)).status, 202);
    const results = await platform.waitResults(0, "lot-a", 6);
    assert.equal(results.length, 6);
    for (const { id, state, output, versions, score } of results) {
      assert.equal(state, "completed");
      assert.equal(output, WHOLE_TEXT);
      assert.deepEqual(versions, [1]);
      assert.match(score, new RegExp(`\\.score-${id}$`));
    }
    assert.deepEqual(await platform.waitResults(1, "lot-a", 6), results);
    const runs = platform.engines.flatMap(({ runs }) => runs)
      .filter(({ attemptId }) => attemptId.startsWith("lot-a-"));
    assert.equal(runs.length, 6);
  });

  it("gives bodies back, ends lots, and knows none that was not handed in", async () => {
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

  it("refuses a lot that can't be read", async () => {
    const answer = await platform.call(0, "POST", "/rollout/x", {
      headers: { "X-Briarhill-Attempt-Id": "lot-bad" },
      body: '{"items":[3]}',
    });
    assert.equal(answer.status, 400);
  });

  it("goes on with a sample at the event at which its stream broke off", async () => {
    const [first, second] = platform.engines;
    assert.ok(first !== undefined && second !== undefined);
    first.breakAfter = 3;
    second.breakAfter = 3;
    await platform.sendLot(0, "lot-b", 2);
    const results = await platform.waitResults(0, "lot-b", 2);
    first.breakAfter = Infinity;
    second.breakAfter = Infinity;
    assert.deepEqual(results.map(({ output }) => output), [
      WHOLE_TEXT,
      WHOLE_TEXT,
    ]);
    for (const { id } of results) {
      const starts: readonly number[] = [...first.runs, ...second.runs]
        .filter(({ attemptId }) => attemptId === id)
        .map(({ fromEvent }) => fromEvent).toSorted((a, b) => a - b);
      // A run that is slow to begin is moved before its third event: 0, 2, 5.
      assert.equal(starts[0], 0, `${starts}`);
      assert.ok((starts.at(-1) ?? 0) >= 5, `${starts}`);
      starts.slice(1).forEach((start, index) =>
        assert.ok(start - (starts[index] ?? 0) <= 3, `${starts}`)
      );
    }
  });

  it("takes a lot through the other host while the store turns it away", async () => {
    platform.store.setMood("busy", platform.getIp(0));
    assert.equal((await platform.sendLot(0, "lot-c", 2)).status, 202);
    assert.equal((await platform.waitResults(0, "lot-c", 2)).length, 2);
    platform.store.setMood("well", platform.getIp(0));
  });

  it("keeps a lot once whose append had no answer", async () => {
    platform.store.setMood("lost");
    const handedIn = platform.sendLot(1, "lot-d", 2);
    await new Promise((resolve) => setTimeout(resolve, 600));
    platform.store.setMood("well");
    assert.equal((await handedIn).status, 202);
    const results = await platform.waitResults(0, "lot-d", 2);
    const ids = results.map(({ id }) => id);
    assert.equal(new Set(ids).size, 2);
  });

  it("moves half of the engines to each named version, under one holder", async () => {
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

  it("sends nothing more to endpoints whose answers say that they are leaving", async () => {
    const leaving = [platform.engines[0], platform.services[0]]
      .filter((one) => one !== undefined);
    const countRuns = () => leaving.map(({ runs }) => runs.length);
    const runLot = async (lot: string) => {
      assert.equal((await platform.sendLot(0, lot, 6)).status, 202);
      await platform.waitResults(0, lot, 6);
    };
    const started = countRuns();
    leaving.forEach((one) => one.leaving.start());
    // All samples of a model run at one host, which has to be told by both.
    await platform.waitFor(async () => {
      await runLot(`lot-f-${Date.now()}`);
      return countRuns().every((runs, index) => runs > (started[index] ?? 0));
    });
    const told = countRuns();
    await runLot("lot-g");
    assert.deepEqual(countRuns(), told);
    leaving.forEach((one) => one.startAnew());
    await platform.waitFor(async () => {
      await runLot(`lot-h-${Date.now()}`);
      return countRuns().every((runs, index) => runs > (told[index] ?? 0));
    });
  });

  it("goes on after the store has dropped its history and dealt its groups anew", async () => {
    platform.store.clearHistory();
    platform.store.assignAnew();
    assert.equal((await platform.sendLot(1, "lot-e", 4)).status, 202);
    assert.equal((await platform.waitResults(0, "lot-e", 4)).length, 4);
    assert.equal((await platform.waitResults(0, "lot-d", 2)).length, 2);
  });
});
