import { SeededRandom } from "@briarhill/common/random/seeded_random";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallPaths } from "../../src/reach/call_paths.ts";
import { ServiceReach } from "../../src/reach/service_reach.ts";

const NOW_MS = 5_000;

function createReach(options: { readonly isLost: boolean }): ServiceReach {
  const reach = new ServiceReach();
  if (options.isLost) {
    reach.applyRound({
      startedAtMs: NOW_MS - 200,
      endedAtMs: NOW_MS - 100,
      probed: 3,
      reached: 0,
      refused: 0,
    });
  }
  return reach;
}

/** Returns what host "h0" of domain "d0" knows of others, three a domain, of which some have lost the service. */
function createPaths(
  hosts: number,
  lost: number,
  isCurrent = true,
): CallPaths {
  const paths = new CallPaths({
    local: { host: "h0", failureDomain: "d0" },
    random: new SeededRandom(1),
    isCurrent: () => isCurrent,
  });
  for (let number = 0; number < hosts; number++) {
    paths.applyReach({
      host: `h${number}`,
      failureDomain: `d${number % 3}`,
      lostServices: number < lost ? ["s"] : [],
    });
  }
  return paths;
}

describe("CallPaths.decidePath", () => {
  const decide = (paths: CallPaths, isLost: boolean, isRelayed = false) =>
    paths.decidePath("s", {
      reach: createReach({ isLost }),
      isRelayed,
      nowMs: NOW_MS,
    });

  it("takes this host's own links while they work", () => {
    assert.deepEqual(decide(createPaths(12, 9), false), { kind: "direct" });
  });

  it("takes only hosts that reach the service, at most two, those of the own failure domain first", () => {
    const path = decide(createPaths(12, 9), true);
    assert.ok(path.kind === "relayed");
    assert.equal(path.hosts[0], "h9");
    assert.equal(path.hosts.length, 2);
    path.hosts.forEach((host) =>
      assert.ok(["h9", "h10", "h11"].includes(host), host)
    );
  });

  it("rejects a call of another host instead of passing it on again", () => {
    assert.equal(decide(createPaths(12, 9), true, true).kind, "none");
  });

  it("rejects with the time to the next probe if all hosts have lost the service", () => {
    const path = decide(createPaths(12, 12), true);
    assert.ok(path.kind === "none");
    assert.ok(path.retryAfterMs > 0 && path.retryAfterMs <= 300);
  });

  it("tries other hosts, whatever they said of themselves, while that is outdated", () => {
    const paths = createPaths(4, 4, false);
    assert.equal(paths.listReaching("s", NOW_MS).length, 3);
    paths.addUnreached("h1", "s", NOW_MS);
    assert.equal(paths.listReaching("s", NOW_MS).length, 2);
  });

  it("leaves out a host whose calls failed together for a second only, and not once it has started again", () => {
    const paths = createPaths(2, 1);
    for (let call = 0; call < 8; call++) {
      paths.addFailure("h1", NOW_MS + call);
    }
    assert.deepEqual(paths.listReaching("s", NOW_MS + 900), []);
    assert.deepEqual(paths.listReaching("s", NOW_MS + 1_000), ["h1"]);
    paths.addFailure("h1", NOW_MS + 1_000);
    assert.deepEqual(paths.listReaching("s", NOW_MS + 2_000), []);
    paths.applyReach({ host: "h1", failureDomain: "d1", lostServices: [] });
    assert.deepEqual(paths.listReaching("s", NOW_MS + 2_000), ["h1"]);
  });

  it("asks hosts that said they had lost the service if there are no others, and trusts their answer", () => {
    const paths = createPaths(4, 4);
    assert.deepEqual(paths.listReaching("s", NOW_MS), []);
    const [asked = ""] = paths.listAsked("s", NOW_MS);
    paths.setReaching(asked, "s");
    assert.deepEqual(paths.listReaching("s", NOW_MS), [asked]);
  });

  it("spreads the calls of one host over all hosts of its domain that reach the service", () => {
    const paths = createPaths(195, 146);
    const counts = new Map<string, number>();
    for (let call = 0; call < 1_600; call++) {
      const path = decide(paths, true);
      const host = path.kind === "relayed" ? path.hosts[0] ?? "" : "";
      counts.set(host, (counts.get(host) ?? 0) + 1);
    }
    // 16 of the 49 hosts that reach the service are in the domain of this one.
    assert.equal(counts.size, 16);
    assert.ok(Math.max(...counts.values()) < 2 * 100);
  });

  it("leaves out hosts that did not answer, and hosts that have just failed to reach the service", () => {
    const paths = createPaths(4, 1);
    paths.addFailure("h1", NOW_MS);
    paths.addUnreached("h2", "s", NOW_MS);
    assert.deepEqual(paths.listReaching("s", NOW_MS), ["h3"]);
    assert.equal(paths.listReaching("s", NOW_MS + 1_000).length, 3);
  });
});

describe("CallPaths.hasUnharmedHost", () => {
  const check = (title: string, paths: CallPaths, expected: boolean) =>
    it(title, () => assert.equal(paths.hasUnharmedHost(NOW_MS), expected));

  check("is true while some host has lost nothing", createPaths(12, 9), true);
  check("is false if all have lost a service", createPaths(12, 12), false);
  check("does not count this host", createPaths(1, 0), false);
});
