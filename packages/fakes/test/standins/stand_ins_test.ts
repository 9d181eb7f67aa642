import { HttpHostList } from "@briarhill/ports/hosts/http_host_list";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startStandIns } from "../../src/standins/stand_ins.ts";

describe("StandIns", () => {
  it("lists its endpoints over the failure domains, then stops", async () => {
    const standIns = await startStandIns({
      engines: 4,
      services: ["register", "quotes"],
      failureDomains: ["a", "b", "c"],
      hostListLagMs: 0,
    });
    const hosts = new HttpHostList(standIns.getAddresses().hosts);
    const endpoints = await hosts.getEndpoints();
    const domains = endpoints.map(({ failureDomain }) => failureDomain);
    assert.deepEqual(domains, ["a", "b", "c", "a", "a", "b"]);
    const checking = endpoints.filter(({ checksFencing }) => checksFencing);
    assert.equal(checking.length, 3);
    await standIns.stop();
    await assert.rejects(hosts.getEndpoints(), { outcome: "not-run" });
    await hosts.close();
  });
});
