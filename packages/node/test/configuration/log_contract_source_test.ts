import { SystemClock } from "@briarhill/common/time/system_clock";
import {
  CONFIGURATION_STREAM,
  encodeConfigurationRecord,
} from "@briarhill/control/configuration/configuration_record";
import { FakeHostList } from "@briarhill/fakes/hosts/fake_host_list";
import { FakeLog } from "@briarhill/fakes/log/fake_log";
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { LogContractSource } from "../../src/configuration/log_contract_source.ts";
import { LogLeaseManager } from "../../src/leases/log_lease_manager.ts";
import { createContext } from "../fixtures/call_fixtures.ts";
import {
  createNetwork,
  stopCreatedNetworks,
  waitUntil,
} from "../peers/fixtures.ts";

const stopping = new AbortController();

async function appendDrain(log: FakeLog, sequence: number): Promise<number> {
  return await log.append(
    CONFIGURATION_STREAM,
    encodeConfigurationRecord({
      writer: "operator",
      session: "s",
      sequence,
      basedOn: -1,
      kind: "drain",
      target: { kind: "host", name: `drained-${sequence}` },
      draining: true,
    }),
  );
}

async function start(
  host: string,
  { log, seeds }: { readonly log: FakeLog; readonly seeds: readonly string[] },
) {
  const clock = new SystemClock();
  const hostList = new FakeHostList(clock);
  const context = createContext(clock, { log, hostList, host });
  const peers = createNetwork({ host, seeds, clock });
  const leases = new LogLeaseManager(context, peers);
  const contracts = new LogContractSource(context, { leases, peers });
  const address = `127.0.0.1:${await peers.start()}`;
  void contracts.run(stopping.signal);
  return { contracts, address };
}

describe("LogContractSource over real links", () => {
  afterEach(async () => {
    stopping.abort();
    await stopCreatedNetworks();
  });

  it("fetches the newest revision from its peers when the log is unavailable", async () => {
    const log = new FakeLog(new SystemClock());
    let newest = -1;
    for (let sequence = 0; sequence < 3; sequence++) {
      newest = await appendDrain(log, sequence);
    }
    const first = await start("h1", { log, seeds: [] });
    const second = await start("h2", { log, seeds: [first.address] });
    const early = [first, second];
    assert.ok(
      await waitUntil(() =>
        early.every(({ contracts }) => contracts.getRevision() === newest)
      ),
    );
    log.setOutage("refused");
    const late = await start("late", { log, seeds: [first.address] });
    assert.equal(late.contracts.isReady(), false);
    assert.ok(await waitUntil(() => late.contracts.isReady()));
    assert.equal(late.contracts.getRevision(), newest);
  });
});
