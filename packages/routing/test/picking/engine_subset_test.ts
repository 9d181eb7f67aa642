import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listSubset } from "../../src/picking/engine_subset.ts";

function listNames(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

describe("listSubset", () => {
  it("returns all engines if there are few", () => {
    const engines = listNames("engine", 12);
    const hosts = listNames("host", 12);
    assert.equal(listSubset({ self: "host-3", hosts, engines }).length, 12);
  });

  it("assigns two hosts to each of 12,000 engines and reassigns few when a host leaves", () => {
    const engines = listNames("engine", 12_000);
    const hosts = listNames("host", 370);
    const watcherCounts = new Map<string, number>();
    let reassigned = 0;
    for (const self of hosts.slice(1)) {
      const before = new Set(listSubset({ self, hosts, engines }));
      before.forEach((id) =>
        watcherCounts.set(id, (watcherCounts.get(id) ?? 0) + 1)
      );
      assert.ok(before.size > 20 && before.size < 120, `${before.size}`);
      if (self.endsWith("7")) {
        const remaining = hosts.filter((host) => host !== "host-0");
        const after = listSubset({ self, hosts: remaining, engines });
        reassigned += after.filter((id) => !before.has(id)).length;
      }
    }
    listSubset({ self: "host-0", hosts, engines })
      .forEach((id) => watcherCounts.set(id, (watcherCounts.get(id) ?? 0) + 1));
    assert.deepEqual([...new Set(watcherCounts.values())], [2]);
    assert.equal(watcherCounts.size, 12_000);
    // The 37 hosts checked receive about a tenth of the 65 engines of the host that left.
    assert.ok(reassigned < 40, `${reassigned} engines reassigned`);
  });
});
