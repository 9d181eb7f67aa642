import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { DeliveryModel } from "../fixtures/delivery_model.ts";

const PROPERTY_RUNS = 10_000;
const FAULTY_STEPS = 120;
const FAULT_FREE_STEPS = 800;

/** Runs the model without faults until the trainer has received the lot. */
function finishWithoutFaults(model: DeliveryModel): void {
  model.lossRate = 0;
  model.suspicionRate = 0;
  model.hosts.forEach((host) => host.paused = false);
  for (let step = 0; step < FAULT_FREE_STEPS && !model.isComplete(); step++) {
    const host = model.hosts[step % model.hosts.length];
    if (host !== undefined) {
      model.pull(host);
      model.stepHost(host);
      model.stepHost(host);
      model.stepGeneration(host);
      model.stepAnswer(false);
    }
  }
  assert.ok(
    model.isComplete(),
    "the lot was not delivered within the fault-free steps",
  );
}

function applyRandomStep(model: DeliveryModel): void {
  const { random } = model;
  const host = random.getItem(model.hosts);
  const chance = random.getInteger(100);
  if (host === undefined) {
    return;
  }
  if (chance < 35) {
    model.stepHost(host);
  } else if (chance < 55) {
    model.stepGeneration(host);
  } else if (chance < 72) {
    model.pull(host);
  } else if (chance < 85) {
    model.stepAnswer(random.getFloat() < 0.3);
  } else if (chance < 89) {
    model.crash(host);
  } else if (chance < 91) {
    host.paused = !host.paused;
  } else if (chance < 94) {
    model.newest++;
  } else if (chance < 97) {
    model.saveTrainer();
  } else {
    model.restartTrainer();
  }
}

describe("LotOwner", () => {
  it(`delivers exactly once, none stale, in ${PROPERTY_RUNS} fault sequences`, () => {
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const model = new DeliveryModel({ seed });
        model.lossRate = 0.2;
        model.suspicionRate = 0.1;
        for (let step = 0; step < FAULTY_STEPS; step++) {
          applyRandomStep(model);
        }
        finishWithoutFaults(model);
      }),
      { numRuns: PROPERTY_RUNS, seed: 6 },
    );
  });

  type Fault = (model: DeliveryModel, host: number) => void;
  const faults: readonly (readonly [string, Fault])[] = [
    [
      "crashes",
      (model, index) => model.hosts[index] && model.crash(model.hosts[index]),
    ],
    ["is paused and its lot taken over", (model, index) => {
      const host = model.hosts[index];
      if (host !== undefined) {
        host.paused = true;
        model.suspicionRate = 1;
      }
    }],
    ["loses a reply of the log", (model) => model.lossRate = 1],
    ["serves a trainer that restarts", (model) => model.restartTrainer()],
    ["receives two new versions", (model) => {
      model.newest += 2;
    }],
  ];
  for (const [name, applyFault] of faults) {
    it(`delivers exactly once when a host ${name} at any step`, () => {
      for (let faultStep = 0; faultStep < 80; faultStep++) {
        const model = new DeliveryModel({ seed: 1, limit: 2 });
        for (let step = 0; step < 80; step++) {
          if (step === faultStep) {
            applyFault(model, 0);
          }
          const host = model.hosts[step > faultStep ? step % 2 : 0];
          if (host !== undefined) {
            model.pull(host);
            model.stepHost(host);
            model.stepGeneration(host);
            model.stepAnswer(step % 3 === 0);
          }
        }
        finishWithoutFaults(model);
      }
    });
  }
});
