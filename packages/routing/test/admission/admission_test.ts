import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import fc from "fast-check";
import { Admission } from "../../src/admission/admission.ts";
import type {
  AdmissionCommand,
  AdmissionRequest,
  CustomerLimits,
} from "../../src/admission/admission_structure.ts";

const TAKE_BACK_MS = 2000;

function createLimits(overrides: Partial<CustomerLimits>): CustomerLimits {
  return {
    customer: "a",
    entitledSlots: 6,
    floorSlots: 2,
    lend: true,
    takeBackMs: TAKE_BACK_MS,
    maxQueuedLive: 8,
    maxQueuedRollouts: 100,
    ...overrides,
  };
}

function createAdmission(
  overrides: Partial<CustomerLimits> = {},
): Admission {
  const admission = new Admission();
  const customers = [
    createLimits(overrides),
    createLimits({
      customer: "b",
      entitledSlots: 4,
      floorSlots: 1,
      ...overrides,
    }),
  ];
  admission.setLimits({ totalSlots: 10, customers }, 0);
  return admission;
}

let nextId = 0;
function createRequest(
  customer: string,
  requestClass: "live" | "rollout",
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    id: `r${nextId++}`,
    customer,
    requestClass,
    cost: 10,
    deadlineMs: 1e9,
    runMs: 100,
    ...overrides,
  };
}

function addMany(
  admission: Admission,
  options: {
    readonly customer: string;
    readonly requestClass: "live" | "rollout";
    readonly count: number;
    readonly nowMs?: number;
  },
): AdmissionCommand[] {
  const commands: AdmissionCommand[] = [];
  for (let count = 0; count < options.count; count++) {
    const request = createRequest(options.customer, options.requestClass);
    commands.push(...admission.admit(request, options.nowMs ?? 0));
  }
  return commands;
}

function countKind(
  commands: readonly AdmissionCommand[],
  kind: AdmissionCommand["kind"],
): number {
  return commands.filter((command) => command.kind === kind).length;
}

describe("Admission.admit", () => {
  it("never starts training in live floors, and starts live calls there immediately", () => {
    const admission = createAdmission();
    const training = { requestClass: "rollout" as const, count: 20 };
    assert.equal(
      countKind(addMany(admission, { customer: "a", ...training }), "start"),
      7,
    );
    const live = { requestClass: "live" as const };
    const liveB = addMany(admission, { customer: "b", ...live, count: 1 });
    assert.equal(countKind(liveB, "start"), 1);
    const liveA = addMany(admission, { customer: "a", ...live, count: 2 });
    assert.equal(countKind(liveA, "start"), 2);
  });

  it("immediately refuses requests that can't meet the deadline or find the queue full", () => {
    const admission = createAdmission();
    addMany(admission, { customer: "a", requestClass: "live", count: 30 });
    const usage = admission.getUsage()[0];
    assert.equal(usage?.liveQueued, 8);
    const late = createRequest("b", "rollout", { deadlineMs: 50 });
    addMany(admission, { customer: "b", requestClass: "rollout", count: 5 });
    const refusal = admission.admit(late, 0).at(-1);
    assert.equal(refusal?.kind, "refuse");
    assert.ok(refusal?.kind === "refuse" && refusal.retryAfterMs >= 1000);
    const unknown = admission.admit(createRequest("c", "live"), 0)[0];
    assert.ok(unknown?.kind === "refuse" && unknown.reason === "no-contract");
  });

  it("does not lend idle slots if the contract forbids lending", () => {
    const admission = createAdmission({ lend: false });
    const commands = addMany(admission, {
      customer: "a",
      requestClass: "rollout",
      count: 20,
    });
    assert.equal(countKind(commands, "start"), 4);
  });
});

describe("Admission.advance", () => {
  it("reclaims lent slots within takeBackMs", () => {
    const admission = createAdmission();
    addMany(admission, { customer: "b", requestClass: "rollout", count: 20 });
    addMany(admission, { customer: "a", requestClass: "rollout", count: 20 });
    let cancelled = 0;
    for (let nowMs = 0; nowMs <= TAKE_BACK_MS; nowMs += 100) {
      cancelled += countKind(admission.advance(nowMs), "cancel");
    }
    const [a, b] = admission.getUsage();
    assert.equal(cancelled, 3);
    assert.equal(a?.rolloutsRunning, 3);
    assert.equal(b?.rolloutsRunning, 4);
  });

  it("refuses a queued request exactly once when its deadline passes", () => {
    const admission = createAdmission();
    addMany(admission, { customer: "a", requestClass: "rollout", count: 9 });
    const request = createRequest("a", "rollout", { deadlineMs: 5000 });
    admission.admit(request, 0);
    assert.equal(admission.advance(4999).length, 0);
    const refusals = admission.advance(5000);
    assert.deepEqual(refusals.map(({ id }) => id), [request.id]);
    assert.equal(admission.advance(6000).length, 0);
  });
});

describe("Admission, shares", () => {
  it("divides engine time by share within 5% while all customers have a backlog", () => {
    const random = new SeededRandom(7);
    const admission = createAdmission();
    const ends: { id: string; atMs: number; cost: number }[] = [];
    const customers = ["a", "b"];
    let nowMs = 0;
    const apply = (commands: readonly AdmissionCommand[]) => {
      for (const { id, kind } of commands) {
        if (kind === "start") {
          const runMs = random.getLogNormal(400, 0.8);
          ends.push({ id, atMs: nowMs + runMs, cost: runMs / 10 });
        }
      }
    };
    const addRollouts = (count: number) =>
      customers.forEach((customer) => {
        for (let index = 0; index < count; index++) {
          const request = createRequest(customer, "rollout", { cost: 40 });
          apply(admission.admit(request, nowMs));
        }
      });
    addRollouts(40);
    for (let step = 0; step < 4000; step++) {
      ends.sort((x, y) => x.atMs - y.atMs);
      const next = ends.shift();
      nowMs = next?.atMs ?? nowMs;
      apply(
        admission.release(next?.id ?? "", { nowMs, cost: next?.cost ?? 0 }),
      );
      if (step % 20 === 0) {
        addRollouts(20);
      }
    }
    const [a, b] = admission.getUsage().map(({ tokenSeconds }) => tokenSeconds);
    const share = (a ?? 0) / ((a ?? 0) + (b ?? 0));
    assert.ok(Math.abs(share - 0.6) < 0.05, `share of a: ${share}`);
  });
});

describe("Admission, invariants", () => {
  const step = fc.record({
    kind: fc.constantFrom("live", "rollout", "release", "giveUp", "advance"),
    customer: fc.constantFrom("a", "b"),
    pick: fc.nat(30),
    deadlineMs: fc.integer({ min: 100, max: 20_000 }),
  });

  it("starts or refuses each request at most once, and never runs training in a live floor", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const admission = createAdmission();
        const states = new Map<string, string>();
        let nowMs = 0;
        const apply = (commands: readonly AdmissionCommand[]) => {
          for (const { id, kind } of commands) {
            const before = states.get(id);
            const expected = kind === "cancel" ? "start" : "queued";
            assert.equal(before, expected, `${kind} of ${id}`);
            states.set(id, kind);
          }
        };
        for (const { kind, customer, pick, deadlineMs } of steps) {
          nowMs += pick * 20;
          if (kind === "live" || kind === "rollout") {
            const request = createRequest(customer, kind, {
              deadlineMs: nowMs + deadlineMs,
            });
            states.set(request.id, "queued");
            apply(admission.admit(request, nowMs));
          } else if (kind === "advance") {
            apply(admission.advance(nowMs));
          } else {
            const wanted = kind === "release" ? "start" : "queued";
            const ids = [...states.keys()].filter((id) =>
              states.get(id) === wanted
            );
            const id = ids[pick % Math.max(1, ids.length)] ?? "none";
            states.set(id, "ended");
            apply(admission.release(id, { nowMs }));
          }
          checkUsage(admission);
        }
      }),
      { seed: 11, numRuns: 2000 },
    );
  });
});

function checkUsage(admission: Admission): void {
  const [a, b] = admission.getUsage();
  assert.ok(a && b);
  const rollouts = a.rolloutsRunning + b.rolloutsRunning;
  assert.ok(rollouts <= 7, `${rollouts} rollouts beside live floors of 3`);
  for (const [usage, floor] of [[a, 2], [b, 1]] as const) {
    assert.ok(usage.liveQueued === 0 || usage.liveRunning >= floor);
  }
}
