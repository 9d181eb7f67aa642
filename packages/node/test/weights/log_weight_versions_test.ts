import { ManualClock } from "@briarhill/common/time/manual_clock";
import type { Fault } from "@briarhill/fakes/faults/fault";
import { FakeHostList } from "@briarhill/fakes/hosts/fake_host_list";
import { FakeLog } from "@briarhill/fakes/log/fake_log";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { PollingEndpointDirectory } from "../../src/endpoints/polling_endpoint_directory.ts";
import { LogLeaseManager } from "../../src/leases/log_lease_manager.ts";
import { LogWeightVersions } from "../../src/weights/log_weight_versions.ts";
import { createContext } from "../fixtures/call_fixtures.ts";
import { FixedContracts } from "../fixtures/fixed_contracts.ts";
import { PeerHub } from "../fixtures/peer_hub.ts";

const MODEL = "names-es";
const STEP_MS = 100;
const ANNOUNCEMENT_TIMEOUT_MS = 30_000;

function createFixture() {
  const clock = new ManualClock();
  const log = new FakeLog(clock);
  const hostList = new FakeHostList(clock);
  const context = createContext(clock, { log, hostList, host: "h1" });
  const peers = new PeerHub().add("h1", 1);
  const weights = new LogWeightVersions(context, {
    directory: new PollingEndpointDirectory(context, peers),
    leases: new LogLeaseManager(context),
    contracts: new FixedContracts([]),
  });
  void weights.run(new AbortController().signal);
  return { clock, log, weights };
}

/** Announces a version; returns whether it succeeds, and its duration. */
async function announce(
  { clock, weights }: ReturnType<typeof createFixture>,
  version: number,
): Promise<{ readonly succeeds: boolean; readonly durationMs: number }> {
  const startMs = clock.getMonotonicMs();
  let succeeds: boolean | undefined;
  void weights.announce(MODEL, version)
    .then(() => succeeds = true, () => succeeds = false);
  for (
    let elapsedMs = 0;
    succeeds === undefined && elapsedMs < ANNOUNCEMENT_TIMEOUT_MS;
    elapsedMs += STEP_MS
  ) {
    await setImmediate();
    clock.advance(succeeds === undefined ? STEP_MS : 0);
  }
  assert.notEqual(succeeds, undefined, "the announcement is still pending");
  return {
    succeeds: succeeds === true,
    durationMs: clock.getMonotonicMs() - startMs,
  };
}

describe("LogWeightVersions.announce", () => {
  function doTest(
    name: string,
    fault: Fault,
    expected: { readonly succeeds: boolean; readonly isImmediate: boolean },
  ): void {
    it(name, async () => {
      const fixture = createFixture();
      fixture.log.faults.add(fault);
      const { succeeds, durationMs } = await announce(fixture, 2);
      assert.equal(succeeds, expected.succeeds);
      assert.equal(
        durationMs < 1_000,
        expected.isImmediate,
        `${durationMs} ms`,
      );
      const recordCount = succeeds ? 1 : 0;
      assert.equal(fixture.log.getRecords("weights").length, recordCount);
      // A trainer repeats an announcement that may have failed.
      const again = await announce(fixture, 2);
      assert.ok(again.succeeds);
      assert.equal(fixture.log.getRecords("weights").length, 1);
    });
  }

  const operation = "append";
  doTest("succeeds if the record was appended but the response was lost", {
    operation,
    kind: "reset",
    when: "after",
  }, { succeeds: true, isImmediate: true });
  doTest("fails after polling for a record that was not appended", {
    operation,
    kind: "reset",
  }, { succeeds: false, isImmediate: false });
  doTest("fails immediately if the log refuses the append", {
    operation,
    kind: "refused",
  }, { succeeds: false, isImmediate: true });
});
