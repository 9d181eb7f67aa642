import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { ConfigurationChange } from "../../src/configuration/configuration_record.ts";
import {
  ConfigurationSimulation,
  createRecord,
  createSections,
} from "./configuration_simulation.ts";

const HOSTS = 4;
const CUSTOMERS = ["a", "b", "c"];

interface Model {
  sequence: number;
}

class Step implements fc.Command<Model, ConfigurationSimulation> {
  readonly #name: string;
  readonly #run: (simulation: ConfigurationSimulation, model: Model) => void;

  constructor(
    name: string,
    run: (simulation: ConfigurationSimulation, model: Model) => void,
  ) {
    this.#name = name;
    this.#run = run;
  }

  check(): boolean {
    return true;
  }

  run(model: Model, simulation: ConfigurationSimulation): void {
    this.#run(simulation, model);
    for (let index = 0; index < HOSTS; index++) {
      assert.ok(
        simulation.isConsistentWithLog(index),
        `host ${index} differs from the log`,
      );
    }
    assert.ok(simulation.getShareSum() <= 1 + 1e-9);
  }

  toString(): string {
    return this.#name;
  }
}

const host = fc.integer({ min: 0, max: HOSTS - 1 });
const range = fc.record({
  behind: fc.integer({ min: 0, max: 5 }),
  limit: fc.integer({ min: 1, max: 6 }),
});
const change = fc.record({
  customer: fc.constantFrom(...CUSTOMERS),
  // Some writers have not read the newest revision.
  missed: fc.constantFrom(0, 0, 0, 1, 4),
  share: fc.constantFrom("0.1", "0.2", "0.3", "0.5", "1.5"),
  kind: fc.constantFrom("contract", "amendment", "amendment", "removal"),
  repeats: fc.constantFrom(1, 1, 2),
});

const publish = change.map((options) =>
  new Step(`publish ${JSON.stringify(options)}`, (simulation, model) => {
    const { customer, missed, share, kind } = options;
    const basedOn = Math.max(-1, simulation.getRevision(customer) - missed);
    const sections = kind === "contract"
      ? createSections(customer, Number(share))
      : { "engine_time": { share } };
    const base = { customer, basedOn, sections, removed: [] };
    const record = createRecord(
      { ...base, kind } as ConfigurationChange,
      model.sequence++,
    );
    for (let repeat = 0; repeat < options.repeats; repeat++) {
      simulation.append(record);
    }
  })
);

const commands = [
  publish,
  publish,
  publish,
  publish,
  fc.tuple(host, range).map(([index, options]) =>
    new Step(`read ${index} ${JSON.stringify(options)}`, (simulation) => {
      simulation.read(index, options);
    })
  ),
  fc.tuple(host, host).map(([index, peer]) =>
    new Step(
      `fetch ${index} ${peer}`,
      (simulation) => simulation.fetchFromPeer(index, peer),
    )
  ),
  host.map((index) =>
    new Step(`restart ${index}`, (simulation) => simulation.restart(index))
  ),
  host.map((index) =>
    new Step(
      `snapshot ${index}`,
      (simulation) => simulation.writeSnapshot(index),
    )
  ),
  fc.constant(
    new Step("corrupt snapshot", (simulation) => simulation.corruptSnapshot()),
  ),
  fc.integer({ min: 1, max: 4 }).map((count) =>
    new Step(`remove old records ${count}`, (simulation) => {
      simulation.first = Math.min(
        Math.max(simulation.first, simulation.records.length - 2),
        simulation.first + count,
      );
    })
  ),
];

function settle(simulation: ConfigurationSimulation): void {
  for (let index = 0; index < HOSTS; index++) {
    simulation.loadSnapshot(index);
    simulation.read(index, { behind: 0, limit: Infinity });
  }
  for (let index = 0; index < HOSTS; index++) {
    for (let peer = 0; peer < HOSTS; peer++) {
      simulation.fetchFromPeer(index, peer);
    }
  }
}

describe("the configuration log", () => {
  it("brings all hosts to the same state and never moves one back", () => {
    let accepted = 0;
    let gaps = 0;
    fc.assert(
      fc.property(
        fc.commands(commands, { maxCommands: 60, size: "max" }),
        (steps) => {
          const simulation = new ConfigurationSimulation(HOSTS);
          fc.modelRun(
            () => ({ model: { sequence: 0 }, real: simulation }),
            steps,
          );
          settle(simulation);
          const offsets = simulation.hosts.map(({ state }) => state.offset);
          assert.equal(new Set(offsets).size, 1, `offsets ${offsets}`);
          assert.ok(
            simulation.hosts.every((_, index) =>
              simulation.isConsistentWithLog(index)
            ),
          );
          accepted +=
            simulation.verdicts.filter(({ verdict }) => verdict === "accepted")
              .length;
          gaps += simulation.first > (offsets[0] ?? 0) + 1 ? 1 : 0;
        },
      ),
      { seed: 4, numRuns: 1_000 },
    );
    assert.ok(
      accepted > 3_000 && gaps > 0,
      `${accepted} accepted, ${gaps} gaps`,
    );
  });
});
