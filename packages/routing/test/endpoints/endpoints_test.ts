import { SeededRandom } from "@briarhill/common/random/seeded_random";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointStructure } from "../../src/endpoints/endpoint.ts";
import { EndpointBoard } from "../../src/endpoints/endpoint_board.ts";
import { EndpointLoad } from "../../src/endpoints/endpoint_load.ts";
import { EndpointTable } from "../../src/endpoints/endpoint_table.ts";

function createEndpoint(
  id: string,
  changes: Partial<EndpointStructure> = {},
): EndpointStructure {
  return {
    id,
    service: "s",
    address: { hostname: "10.0.0.1", port: 80 },
    failureDomain: "a",
    slots: 4,
    isLeaving: false,
    coldMs: 0,
    startedAtMs: 100,
    models: new Map(),
    beat: 1,
    ...changes,
  };
}

function listIds(table: EndpointTable): readonly string[] {
  return table.listUsable().map(({ id }) => id);
}

describe("EndpointTable", () => {
  it("keeps an endpoint leaving until it has started again", () => {
    const table = new EndpointTable();
    table.applyEntry(createEndpoint("e", { isLeaving: true, beat: 5 }));
    table.applyEntry(createEndpoint("e", { beat: 6 }));
    assert.deepEqual(listIds(table), []);
    table.applyEntry(createEndpoint("e", { startedAtMs: 200, beat: 1 }));
    assert.deepEqual(listIds(table), ["e"]);
  });

  it("ignores an entry that comes late", () => {
    const table = new EndpointTable();
    table.applyEntry(createEndpoint("e", { beat: 5, isLeaving: true }));
    assert.equal(
      table.applyEntry(createEndpoint("e", { beat: 4 })),
      "outdated",
    );
    table.applyEntry(createEndpoint("f", { beat: 5 }));
    table.applyRemoval("f", { nowMs: 9_000, disturbedAtMs: 0 });
    table.applyEntry(createEndpoint("f", { beat: 4 }));
    assert.deepEqual(listIds(table), []);
  });

  it("forgets an endpoint that has long been gone", () => {
    const table = new EndpointTable();
    table.applyEntry(createEndpoint("e", { beat: 5 }));
    table.applyRemoval("e", { nowMs: 9_000, disturbedAtMs: 0 });
    table.removeLapsed(69_001);
    assert.equal(table.applyEntry(createEndpoint("e", { beat: 4 })), "added");
  });

  it("gives no work to an endpoint whose own answer says that it is leaving", () => {
    const table = new EndpointTable();
    const endpoint = createEndpoint("e", { beat: 5 });
    table.applyEntry(endpoint);
    assert.equal(table.setLeaving(endpoint), true);
    assert.equal(table.setLeaving(endpoint), false);
    assert.deepEqual(listIds(table), []);
    table.applyEntry(createEndpoint("e", { beat: 6 }));
    table.applyRemoval("e", { nowMs: 9_000, disturbedAtMs: 0 });
    table.applyEntry(createEndpoint("e", { beat: 7 }));
    assert.deepEqual(listIds(table), []);
  });

  it("uses an endpoint again that has started anew since it was leaving", () => {
    const table = new EndpointTable();
    const before = createEndpoint("e");
    table.applyEntry(before);
    table.setLeaving(before);
    table.applyEntry(createEndpoint("e", { startedAtMs: 200 }));
    assert.deepEqual(listIds(table), ["e"]);
    assert.equal(table.setLeaving(before), false);
    assert.deepEqual(listIds(table), ["e"]);
  });

  it("removes at once while the list is undisturbed", () => {
    const table = new EndpointTable();
    table.applyEntry(createEndpoint("e"));
    table.applyRemoval("e", { nowMs: 9_000, disturbedAtMs: 5_000 });
    assert.deepEqual(listIds(table), []);
  });

  it("keeps what lapsed in an outage until it had time to come back", () => {
    const table = new EndpointTable();
    table.applyEntry(createEndpoint("back"));
    table.applyEntry(createEndpoint("gone"));
    for (const id of ["back", "gone"]) {
      table.applyRemoval(id, { nowMs: 5_000, disturbedAtMs: 4_900 });
    }
    assert.deepEqual(listIds(table), ["back", "gone"]);
    table.applyEntry(createEndpoint("back", { beat: 2 }));
    assert.deepEqual(table.removeLapsed(6_899), []);
    assert.deepEqual(table.removeLapsed(6_900), ["gone"]);
    assert.deepEqual(listIds(table), ["back"]);
  });
});

describe("EndpointLoad", () => {
  it("corrects the last report by what was sent since", () => {
    const load = new EndpointLoad();
    load.addRequest();
    load.setReported(5, 1_000);
    load.addRequest();
    assert.equal(load.getRequests(1_100), 6);
    assert.equal(load.getRequests(2_000), 2);
  });

  it("pauses at once for silence, for spoilt answers only when they repeat", () => {
    const load = new EndpointLoad();
    load.removeRequest("broken", 0);
    assert.equal(load.isPaused(1), false);
    load.removeRequest("broken", 0);
    assert.equal(load.isPaused(1), true);
    load.removeRequest("served", 2);
    assert.equal(load.isPaused(3), false);
    load.removeRequest("unreachable", 3);
    assert.equal(load.isPaused(4), true);
  });
});

function createPick(candidates: readonly EndpointStructure[], tried: string[]) {
  return {
    candidates,
    tried: new Set(tried),
    failureDomain: "a",
    nowMs: 0,
  };
}

describe("EndpointBoard.pickEndpoint", () => {
  const near = createEndpoint("near");
  const far = createEndpoint("far", { failureDomain: "b" });

  function createBoard(): EndpointBoard {
    return new EndpointBoard(new SeededRandom(1));
  }

  it("prefers its own failure domain when all else is equal", () => {
    assert.equal(createBoard().pickEndpoint(createPick([far, near], [])), near);
  });

  it("prefers another failure domain to a loaded or slow endpoint", () => {
    const board = createBoard();
    for (let count = 0; count < 4; count++) {
      board.getLoad("near").addRequest();
    }
    assert.equal(board.pickEndpoint(createPick([far, near], [])), far);
    const slow = createBoard();
    slow.getLoad("near").addPace(4);
    assert.equal(slow.pickEndpoint(createPick([far, near], [])), far);
  });

  it("takes a tried or paused endpoint only where no other is left", () => {
    const board = createBoard();
    assert.equal(board.pickEndpoint(createPick([far, near], ["near"])), far);
    assert.equal(board.pickEndpoint(createPick([near], ["near"])), near);
    board.getLoad("near").removeRequest("unreachable", 0);
    assert.equal(board.pickEndpoint(createPick([far, near], [])), far);
    assert.equal(board.pickEndpoint(createPick([], [])), undefined);
  });
});
