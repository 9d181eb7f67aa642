import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { initialTransition, transition } from "xstate";
import type { RecordVerdict } from "../../src/configuration/configuration_fold.ts";
import {
  LATE_EFFECT_WINDOW_MS,
  PUBLICATION_MACHINE,
  type PublicationEvent,
} from "../../src/configuration/publication_machine.ts";

function createVerdict(verdict: RecordVerdict["verdict"]): RecordVerdict {
  return {
    offset: 7,
    timeMs: 0,
    record: undefined,
    verdict,
    message: "",
    inForce: undefined,
  };
}

const APPENDED: PublicationEvent = { type: "appended", nowMs: 0 };
const NOT_RUN: PublicationEvent = {
  type: "appendFailed",
  outcome: "not-run",
  nowMs: 0,
};
const LOST: PublicationEvent = { ...NOT_RUN, outcome: "unknown" };
const READ_FAILED: PublicationEvent = { type: "readFailed" };
const EXPIRED: PublicationEvent = { type: "expired" };

function createRead(
  verdict?: RecordVerdict["verdict"],
  nowMs = 1,
): PublicationEvent {
  const own = verdict === undefined ? undefined : createVerdict(verdict);
  return { type: "read", ownVerdict: own, nowMs };
}

const READ_AFTER_WINDOW = createRead(undefined, LATE_EFFECT_WINDOW_MS);

describe("PUBLICATION_MACHINE", () => {
  function doTest(
    events: readonly PublicationEvent[],
    expected: string,
  ): void {
    let [state, actions] = initialTransition(PUBLICATION_MACHINE);
    let commands = actions.map(({ type }) => type);
    for (const event of events) {
      [state, actions] = transition(PUBLICATION_MACHINE, state, event);
      commands = [...commands, ...actions.map(({ type }) => type)];
    }
    const appends = commands.filter((type) => type === "append").length;
    assert.equal(`${String(state.value)} ${appends}`, expected);
  }

  it("ends or retries according to the responses of the log", () => {
    doTest([APPENDED, createRead("accepted")], "accepted 1");
    doTest([APPENDED, createRead("conflict")], "rejected 1");
    doTest([APPENDED, createRead("invalid")], "rejected 1");
    doTest(
      [APPENDED, READ_FAILED, createRead(), createRead("accepted")],
      "accepted 1",
    );
    // The append succeeded, but a stale replica of the log is read.
    doTest([APPENDED, READ_AFTER_WINDOW, READ_AFTER_WINDOW], "resolving 1");
    doTest([LOST, createRead("accepted")], "accepted 1");
    doTest([LOST, createRead(), READ_FAILED], "resolving 1");
    doTest([LOST, READ_AFTER_WINDOW], "appending 2");
    doTest(
      [LOST, READ_AFTER_WINDOW, APPENDED, createRead("duplicate")],
      "accepted 2",
    );
    doTest([
      LOST,
      READ_AFTER_WINDOW,
      LOST,
      READ_AFTER_WINDOW,
      LOST,
      READ_AFTER_WINDOW,
    ], "unknown 3");
    doTest([
      NOT_RUN,
      createRead(),
      NOT_RUN,
      createRead(),
      NOT_RUN,
      createRead(),
    ], "notRun 3");
    doTest([NOT_RUN, READ_FAILED, createRead(), APPENDED], "resolving 2");
    doTest(
      [LOST, READ_AFTER_WINDOW, NOT_RUN, createRead("accepted")],
      "accepted 2",
    );
    doTest(
      [LOST, READ_AFTER_WINDOW, NOT_RUN, createRead(), NOT_RUN, createRead()],
      "resolving 3",
    );
    doTest([LOST, EXPIRED], "unknown 1");
    doTest([NOT_RUN, EXPIRED], "notRun 1");
  });
});
