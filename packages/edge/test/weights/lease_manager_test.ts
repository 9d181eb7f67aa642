import { OPERATOR_TOPIC } from "@briarhill/platform/names/topics";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFixture } from "../node/platform_fixture.ts";

const HOSTS = 3;
/** The time until a lost link is known, the least time between orders of two hosts (3,000), the way of an order and a claim, in milliseconds. */
const HANDED_OVER_MS = 5_000;

describe("LeaseManager at a host that has lost its links to all endpoints", () => {
  const platform = new PlatformFixture(24_600, HOSTS);
  before(() => platform.startHosts(HOSTS));
  after(() => platform.stopHosts());

  const listOrders = () => platform.engines.flatMap(({ orders }) => orders);

  function publish(version: number): void {
    const value = { model: "m0", version };
    platform.store.publish(OPERATOR_TOPIC, "version/m0", value);
  }

  /** The lease is kept as long as the store is reached, so no engine was ordered until the links were back. */
  it("releases the lease, so that another host orders", async () => {
    publish(2);
    await platform.waitFor(() => Promise.resolve(listOrders().length > 0));
    const [first] = listOrders();
    const holder = Number(first?.holder.replace("host-", ""));
    platform.links.suspendHost(holder, "silent");
    const cutAtMs = Date.now();
    publish(3);
    await sleep(HANDED_OVER_MS);
    const later = listOrders().filter(({ version }) => version === 3);
    await platform.links.resumeHost(holder);
    assert.ok(later.length > 0, "no order while the first holder is cut off");
    for (const order of later) {
      assert.notEqual(order.holder, first?.holder);
      assert.ok(order.atMs - cutAtMs >= 3_000, "orders of two holders overlap");
    }
  });
});
