import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { PortFault } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import type {
  RequestCommand,
  RequestEvent,
} from "../../src/requests/request_command.ts";
import { RequestLifecycle } from "../../src/requests/request_lifecycle.ts";
import { StreamProgress } from "../../src/requests/stream_progress.ts";

function createBroken(
  fault: PortFault,
  outcome: Outcome,
  offset = 0,
  canRetry = true,
): RequestEvent {
  return { type: "broken", fault, outcome, offset, canRetry };
}

const ADMITTED: RequestEvent = { type: "admitted", endpoint: "e1" };
const PICKED: RequestEvent = { type: "picked", endpoint: "e2" };
const CHUNK: RequestEvent = { type: "chunk" };

function formatCommand(command: RequestCommand): string {
  switch (command.kind) {
    case "dial":
      return `dial ${command.endpoint} ${command.fromToken}`;
    case "blame":
      return command.isOverload ? "overload" : `blame ${command.endpoint}`;
    case "fail":
      return `fail ${command.reason} ${command.outcome}`;
    default:
      return command.kind;
  }
}

describe("RequestLifecycle.handle", () => {
  function check(
    events: readonly RequestEvent[],
    expected: readonly string[],
    idempotent = true,
  ): void {
    const lifecycle = new RequestLifecycle({
      idempotent,
      resume: true,
      maxAttempts: 3,
    });
    const commands = events.flatMap((event) => lifecycle.handle(event));
    assert.deepEqual(commands.map(formatCommand), expected);
  }

  it("finishes after a complete response", () =>
    check([ADMITTED, CHUNK, { type: "finished" }], ["dial e1 0", "finish"]));

  it("fails with not-run if the request was never sent", () => {
    check([{ type: "refused" }], ["fail refused not-run"]);
    check([{ type: "late" }], ["fail late not-run"]);
    check([{ type: "cancelled" }], ["fail cancelled not-run"]);
  });

  it("redials a silent stream at its offset without recording a fault", () =>
    check(
      [ADMITTED, CHUNK, createBroken("silent", "ran", 7), CHUNK, {
        type: "finished",
      }],
      ["dial e1 0", "dial e1 7", "finish"],
    ));

  it("resumes at another endpoint if the redials are silent too", () => {
    const silent = createBroken("silent", "ran", 7);
    check(
      [ADMITTED, CHUNK, silent, silent, silent, PICKED],
      [
        "dial e1 0",
        "dial e1 7",
        "dial e1 7",
        "blame e1",
        "backoff",
        "dial e2 7",
      ],
    );
  });

  it("doesn't treat a rejection due to overload as a fault", () =>
    check(
      [ADMITTED, createBroken("rejected", "not-run"), PICKED],
      ["dial e1 0", "overload", "backoff", "dial e2 0"],
    ));

  it("fails if the retry budget is exhausted", () =>
    check(
      [ADMITTED, createBroken("rejected", "unknown", 0, false)],
      ["dial e1 0", "blame e1", "fail broken unknown"],
    ));

  it("retries a non-idempotent request only if it did not run", () => {
    check(
      [ADMITTED, createBroken("refused", "not-run"), PICKED],
      ["dial e1 0", "blame e1", "backoff", "dial e2 0"],
      false,
    );
    check(
      [ADMITTED, createBroken("reset", "unknown")],
      ["dial e1 0", "blame e1", "fail broken unknown"],
      false,
    );
  });

  it("cancels the attempt at the endpoint if the caller disconnects", () =>
    check(
      [ADMITTED, CHUNK, { type: "cancelled" }],
      ["dial e1 0", "cancel", "fail cancelled ran"],
    ));
});

describe("RequestLifecycle, invariants", () => {
  const TOTAL = 12;
  const step = fc.record({
    kind: fc.constantFrom(
      "tokens",
      "tokens",
      "broken",
      "gap",
      "repeat",
      "pick",
      "refuse",
      "late",
      "cancel",
    ),
    fault: fc.constantFrom<PortFault>("silent", "reset", "refused", "rejected"),
    outcome: fc.constantFrom<Outcome>("not-run", "unknown", "ran"),
    count: fc.integer({ min: 1, max: 5 }),
    canRetry: fc.boolean(),
  });

  /** Runs a request against an endpoint that interrupts the stream and repeats or skips tokens. */
  function run(
    steps: readonly (typeof step extends fc.Arbitrary<infer T> ? T : never)[],
    idempotent: boolean,
  ): void {
    const lifecycle = new RequestLifecycle({
      idempotent,
      resume: idempotent,
      maxAttempts: 3,
    });
    const progress = new StreamProgress(0);
    let received = "";
    let mayHaveRun = 0;
    let isDialled = false;
    const ends: RequestCommand[] = [];
    const handle = (event: RequestEvent) => {
      for (const command of lifecycle.handle(event)) {
        if (command.kind === "dial") {
          isDialled = true;
          assert.equal(command.fromToken, progress.next);
          assert.ok(
            idempotent || mayHaveRun === 0,
            "a non-idempotent request was sent again after it may have run",
          );
        } else if (command.kind === "finish" || command.kind === "fail") {
          ends.push(command);
        }
      }
    };
    handle(ADMITTED);
    for (const { kind, fault, outcome, count, canRetry } of steps) {
      if (lifecycle.isEnded()) {
        break;
      }
      const shift = kind === "gap" ? 1 : kind === "repeat" ? -2 : 0;
      if (kind === "tokens" || shift !== 0) {
        if (!isDialled) {
          continue;
        }
        const fromToken = Math.max(0, progress.next + shift);
        const toToken = Math.min(TOTAL, fromToken + count);
        const tokens = Array.from(
          { length: Math.max(0, toToken - fromToken) },
          (_, index) => `<${fromToken + index}>`,
        );
        try {
          received += progress.apply({ fromToken, tokens }).join("");
          mayHaveRun++;
          handle(CHUNK);
          if (progress.next === TOTAL) {
            handle({ type: "finished" });
          }
        } catch {
          handle(createBroken("incomplete", "ran", progress.next, canRetry));
        }
      } else if (kind === "broken" && isDialled) {
        const actualOutcome = progress.next > 0 ? "ran" : outcome;
        mayHaveRun += actualOutcome === "not-run" ? 0 : 1;
        isDialled = false;
        handle(createBroken(fault, actualOutcome, progress.next, canRetry));
      } else if (kind === "pick") {
        handle(PICKED);
      } else if (kind === "refuse" || kind === "late") {
        handle({ type: kind === "refuse" ? "refused" : "late" });
      } else if (kind === "cancel") {
        handle({ type: "cancelled" });
      }
    }
    const expected = Array.from({ length: TOTAL }, (_, index) => `<${index}>`);
    assert.ok(expected.join("").startsWith(received), `received ${received}`);
    assert.equal(progress.getText(), received);
    const [end] = ends;
    assert.ok(ends.length <= 1, "more than one final outcome");
    assert.equal(ends.length === 1, lifecycle.isEnded());
    if (end?.kind === "finish") {
      assert.equal(received, expected.join(""));
    } else if (end?.kind === "fail" && end.outcome === "not-run") {
      assert.equal(mayHaveRun, 0);
    }
  }

  it("never finishes an incomplete response, reports a false not-run or runs a non-idempotent request twice", () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 4, maxLength: 40 }),
        fc.boolean(),
        (steps, idempotent) => run(steps, idempotent),
      ),
      { seed: 5, numRuns: 3000 },
    );
  });
});
