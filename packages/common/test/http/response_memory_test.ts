import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ResponseMemory } from "../../src/http/response_memory.ts";

describe("ResponseMemory", () => {
  /** Sets the bytes of some readings in this order; returns the readings that were dropped, and the bytes that are kept. */
  function setAll(
    limitBytes: number,
    sizes: readonly (readonly [string, number])[],
  ) {
    const memory = new ResponseMemory({
      limitBytes,
      onDropped: (bytes) => droppedBytes += bytes,
    });
    const dropped: string[] = [];
    let droppedBytes = 0;
    const readings = new Map(
      [...new Set(sizes.map(([name]) => name))].map((name) => [
        name,
        memory.openReading(() => dropped.push(name)),
      ]),
    );
    sizes.forEach(([name, bytes]) => readings.get(name)?.setBytes(bytes));
    return { memory, readings, dropped, droppedBytes };
  }

  it("drops nothing up to its limit", () => {
    const { memory, dropped } = setAll(10, [["a", 4], ["b", 6]]);
    assert.deepEqual(dropped, []);
    assert.equal(memory.usedBytes, 10);
  });

  it("drops the largest reading beyond its limit, though another one grows", () => {
    const { memory, dropped, droppedBytes } = setAll(10, [
      ["a", 7],
      ["b", 1],
      ["b", 4],
    ]);
    assert.deepEqual(dropped, ["a"]);
    assert.equal(memory.usedBytes, 4);
    assert.equal(droppedBytes, 7);
  });

  it("drops a reading that is larger than its limit alone", () => {
    const { memory, dropped } = setAll(10, [["a", 2], ["b", 11]]);
    assert.deepEqual(dropped, ["b"]);
    assert.equal(memory.usedBytes, 2);
  });

  it("ignores a reading that was dropped or closed", () => {
    const { memory, readings, dropped } = setAll(10, [["a", 11], ["b", 3]]);
    readings.get("a")?.setBytes(5);
    readings.get("b")?.close();
    readings.get("b")?.close();
    readings.get("b")?.setBytes(9);
    assert.deepEqual(dropped, ["a"]);
    assert.equal(memory.usedBytes, 0);
  });
});
