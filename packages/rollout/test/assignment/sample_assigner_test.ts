import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { SampleAssigner } from "../../src/assignment/sample_assigner.ts";
import { AssignmentModel } from "../fixtures/assignment_model.ts";

const PROPERTY_RUNS = 5000;
const FAULTY_STEPS = 150;
const FAULT_FREE_STEPS = 1500;

function applyRandomStep(model: AssignmentModel): void {
  const chance = model.random.getInteger(100);
  const member = model.random.getItem(model.members);
  if (member === undefined) {
    return;
  }
  if (chance < 25) {
    model.stepOwner();
  } else if (chance < 60) {
    model.stepMessage();
  } else if (chance < 85) {
    model.stepMember(member);
  } else if (chance < 88) {
    model.crash(member);
  } else if (chance < 89) {
    model.dropSession(member);
  } else if (chance < 93) {
    model.announceMembers();
  } else if (chance < 95) {
    model.unreachableHost = model.unreachableHost === undefined
      ? member.host
      : undefined;
  } else {
    model.cancelAny();
  }
}

/** Runs the model without faults until all slots are finished. */
function finishWithoutFaults(model: AssignmentModel): void {
  model.isFaulty = false;
  model.unreachableHost = undefined;
  model.members.forEach((member) => member.isFailed = false);
  model.announceMembers();
  for (let step = 0; step < FAULT_FREE_STEPS && !model.isComplete(); step++) {
    model.stepOwner();
    model.stepMessage();
    model.stepMessage();
    model.members.forEach((member) => model.stepMember(member));
  }
  assert.ok(
    model.isComplete(),
    "not all slots finished within the fault-free steps",
  );
}

function createAssigner(hosts: readonly string[]) {
  const assigner = new SampleAssigner<string, string>((work) => work.length);
  const members = hosts.map((host) => ({
    host,
    incarnation: 1,
    isUsable: true,
  }));
  assigner.setMembers(members, 0);
  return assigner;
}

function admitAttempt(
  assigner: SampleAssigner<string, string>,
  affinity = "p",
  nowMs = 0,
) {
  return assigner.assignAttempt({ work: "work", affinity, nowMs });
}

describe("SampleAssigner", () => {
  it(`ends each slot once in ${PROPERTY_RUNS} random fault sequences`, () => {
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const model = new AssignmentModel(seed);
        for (let step = 0; step < FAULTY_STEPS; step++) {
          applyRandomStep(model);
        }
        finishWithoutFaults(model);
      }),
      { numRuns: PROPERTY_RUNS, seed: 6 },
    );
  });

  it("leaves no attempt running once the owner needs none", () => {
    for (let seed = 0; seed < 200; seed++) {
      const model = new AssignmentModel(seed);
      for (let step = 0; step < FAULTY_STEPS; step++) {
        applyRandomStep(model);
      }
      finishWithoutFaults(model);
      for (let step = 0; step < 400; step++) {
        model.stepOwner();
        model.stepMessage();
        model.members.forEach((member) => model.stepMember(member));
      }
      assert.equal(model.countRunning(), 0);
    }
  });

  it("balances attempts while keeping those of a prompt together", () => {
    const assigner = createAssigner(["a", "b", "c", "d"]);
    for (let count = 0; count < 400; count++) {
      admitAttempt(assigner, `${Math.floor(count / 16)}`);
    }
    const loads = [...assigner.listLoads().values()];
    assert.equal(loads.length, 4);
    assert.ok(Math.max(...loads) <= 125, `${loads}`);
  });

  it("assigns nothing to a member that is suspended, leaving or removed", () => {
    const assigner = createAssigner(["a", "b"]);
    assigner.suspendMember("a", 100);
    [1, 2, 3].forEach(() => admitAttempt(assigner));
    assert.deepEqual([...assigner.listLoads()], [["b", 3]]);
    const b = { host: "b", incarnation: 1, isUsable: false };
    assert.equal(assigner.setMembers([b], 0).length, 0);
    assert.equal(admitAttempt(assigner), undefined);
    assert.equal(assigner.setMembers([], 0).length, 3);
  });

  it("withdraws the attempts of a silent member and ignores late ends", () => {
    const assigner = createAssigner(["a"]);
    const number = admitAttempt(assigner) ?? -1;
    const request = assigner.takeRequest("a");
    assert.ok(request !== undefined);
    assert.deepEqual(assigner.advance(9999), []);
    assert.deepEqual(assigner.advance(10_000), [{ kind: "withdrawn", number }]);
    const ends = [{ number, end: "late" }];
    const reply = {
      isAccepted: true,
      incarnation: 1,
      session: 0,
      ends,
      generated: [],
    };
    const late = assigner.handleReply("a", request, { reply, nowMs: 10_100 });
    assert.deepEqual(late, []);
    assert.deepEqual(assigner.takeRequest("a")?.taken, [number]);
  });

  it("resends a cancel together with its attempt when that was lost", () => {
    const assigner = createAssigner(["a"]);
    const number = admitAttempt(assigner) ?? -1;
    const lost = assigner.takeRequest("a");
    assigner.cancelAttempt(number);
    const cancel = assigner.takeRequest("a");
    assert.ok(lost !== undefined && cancel !== undefined);
    assert.deepEqual(cancel.cancels, [number]);
    const reply = {
      isAccepted: true,
      incarnation: 1,
      session: 0,
      ends: [],
      generated: [],
    };
    assigner.handleReply("a", cancel, { reply, nowMs: 1 });
    assigner.handleFailure("a", lost, 2);
    const again = assigner.takeRequest("a");
    assert.deepEqual(again?.runs, [{ number, work: "work" }]);
    assert.deepEqual(again?.cancels, [number]);
  });

  it("continues the sequence numbers of a member that rejoins", () => {
    const assigner = createAssigner(["a"]);
    const before = assigner.takeRequest("a")?.sequence ?? 0;
    assigner.setMembers([], 1);
    const member = { host: "a", incarnation: 1, isUsable: true };
    assigner.setMembers([member], 2);
    assert.ok((assigner.takeRequest("a")?.sequence ?? 0) > before);
  });
});
