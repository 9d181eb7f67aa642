import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { CallTable } from "../../src/claims/call_table.ts";
import type { ClaimLimits } from "../../src/claims/claim_writer.ts";
import { ClaimSimulation } from "./claim_simulation.ts";

const HOSTS = 3;

function createCommand(
  name: string,
  run: (simulation: ClaimSimulation) => void,
): fc.Command<object, ClaimSimulation> {
  return {
    check: () => true,
    run: (_model, simulation) => {
      run(simulation);
      simulation.checkAtMostOnce();
    },
    toString: () => name,
  };
}

const host = fc.nat(HOSTS - 1);
const COMMANDS = [
  fc.tuple(host, fc.constantFrom("a1", "b2", "c3", "d4")).map(([at, key]) =>
    createCommand(
      `open(${at},${key})`,
      (simulation) => simulation.open(at, { key }),
    )
  ),
  fc.nat(20).map((pick) =>
    createCommand(
      `write(${pick})`,
      (simulation) => simulation.writeAppend(pick),
    )
  ),
  fc.tuple(fc.nat(20), fc.boolean()).map(([pick, lost]) =>
    createCommand(
      `append(${pick},${lost})`,
      (simulation) => simulation.finishAppend(pick, lost),
    )
  ),
  fc.tuple(host, fc.boolean()).map(([at, fails]) =>
    createCommand(
      `read(${at},${fails})`,
      (simulation) => simulation.read(at, fails),
    )
  ),
  fc.constant(createCommand("round", runRound)),
  fc.constant(createCommand("round", runRound)),
  fc.constantFrom(10, 50, 1000, 3000).map((byMs) =>
    createCommand(
      `advance(${byMs})`,
      (simulation) => simulation.advance(byMs),
    )
  ),
  host.map((at) =>
    createCommand(`crash(${at})`, (simulation) => simulation.crash(at))
  ),
  host.map((at) =>
    createCommand(`partition(${at})`, (simulation) => {
      simulation.partitionedHosts.has(at)
        ? simulation.partitionedHosts.delete(at)
        : simulation.partitionedHosts.add(at);
    })
  ),
  fc.tuple(fc.nat(5), fc.constantFrom("ran", "unknown", "not-run")).map((
    [pick, outcome],
  ) =>
    createCommand(
      `call(${pick},${outcome})`,
      (simulation) => simulation.finishCall(pick, outcome as "ran"),
    )
  ),
];

/** Runs one round without new faults, in which pending appends are written and read back. */
function runRound(simulation: ClaimSimulation): void {
  simulation.advance(50);
  simulation.inFlight.forEach((append, index) => {
    if (!append.isWritten) {
      simulation.writeAppend(index);
      simulation.finishAppend(index, false);
    }
  });
  simulation.hosts.forEach((_, index) => simulation.read(index, false));
}

describe("ClaimWriter, invariants", () => {
  function doAtMostOnceTest(runs: number, limits: ClaimLimits): void {
    let sent = 0;
    fc.assert(
      fc.property(
        fc.commands(COMMANDS, { maxCommands: 60, size: "max" }),
        (commands) => {
          const simulation = new ClaimSimulation(HOSTS, limits);
          fc.modelRun(() => ({ model: {}, real: simulation }), commands);
          sent += simulation.sent.length;
        },
      ),
      { seed: 23, numRuns: runs },
    );
    assert.ok(sent > runs / 8, `only ${sent} calls were sent`);
  }

  it("sends each key at most once, and never a call reported as not-run", () => {
    doAtMostOnceTest(4000, {});
  });

  it("holds the same invariants while retaining only two owners", () => {
    doAtMostOnceTest(1500, { maxOwners: 2 });
  });
});

describe("ClaimWriter, faults", () => {
  const rows: [string, (simulation: ClaimSimulation) => void, number][] = [
    [
      "sends a single call",
      (simulation) => simulation.open(0, { key: "a1" }),
      1,
    ],
    ["does not send a repeat on another host", (simulation) => {
      simulation.open(0, { key: "a1" });
      simulation.open(1, { key: "a1" });
    }, 1],
    [
      "sends a call whose append response was lost, after reading its claim back",
      (simulation) => {
        simulation.open(0, { key: "a1" });
        simulation.writeAppend(0);
        simulation.finishAppend(0, true);
      },
      1,
    ],
    [
      "sends no repeat after the holder crashed, as the outcome is unknown",
      (simulation) => {
        simulation.open(0, { key: "a1" });
        simulation.writeAppend(0);
        simulation.crash(0);
        simulation.open(1, { key: "a1" });
      },
      0,
    ],
    [
      "sends a repeat if the holder abandoned its claim at the timeout",
      (simulation) => {
        simulation.open(0, { key: "a1" });
        simulation.writeAppend(0);
        simulation.advance(3000);
        simulation.open(1, { key: "a1" });
      },
      1,
    ],
    [
      "sends no repeat if the holder that abandoned its claim is unreachable",
      (simulation) => {
        simulation.open(0, { key: "a1" });
        simulation.writeAppend(0);
        simulation.advance(3000);
        simulation.partitionedHosts.add(0);
        simulation.open(1, { key: "a1" });
      },
      0,
    ],
    ["sends nothing while the log is down", (simulation) => {
      simulation.open(0, { key: "a1" });
      simulation.inFlight.splice(0);
      simulation.advance(3000);
    }, 0],
  ];
  for (const [name, run, expected] of rows) {
    it(name, () => {
      const simulation = new ClaimSimulation(HOSTS);
      run(simulation);
      for (let round = 0; round < 10; round++) {
        runRound(simulation);
      }
      simulation.checkAtMostOnce();
      assert.equal(simulation.sent.length, expected);
    });
  }
});

describe("CallTable.getReport", () => {
  it("reports the outcome of an ended call, and unknown for a call not in the table", () => {
    const table = new CallTable();
    assert.deepEqual(table.getReport("x"), {
      kind: "ended",
      outcome: "unknown",
    });
    const rows = [
      [["unsettled", "won"], "not-run"],
      [["won", "broken"], "unknown"],
      [["won", "answered"], "ran"],
    ] as const;
    rows.forEach(([events, outcome], index) => {
      table.open(`${index}`, 0);
      for (const type of events) {
        table.handle(
          `${index}`,
          type === "broken" ? { type, outcome: "unknown" } : { type },
        );
      }
      assert.deepEqual(table.getReport(`${index}`), { kind: "ended", outcome });
    });
  });
});
