import type { LinkCut } from "@briarhill/fakes/platform/fault_proxy";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFixture } from "../node/platform_fixture.ts";

const HOSTS = 3;
const CUT_HOSTS = [0, 1];
/** The time after which the callers of a cut host have to be served as well as others, in milliseconds. */
const NOTICED_MS = 1_000;
const CALLS = 12;
const BURST = 4;
const BURST_INTERVAL_MS = 200;
const DEADLINE_MS = 2_000;

describe("CallRelay at a host that has lost its links to all endpoints", () => {
  const platform = new PlatformFixture(24_000, HOSTS);
  before(() => platform.startHosts(HOSTS));
  after(() => platform.stopHosts());

  /** Returns how many calls of one host are served at the first try. */
  async function countServed(host: number, name: string): Promise<number> {
    const answers = await Promise.all(
      Array.from({ length: CALLS }, async (_, number) => {
        // Bursts need more connections than are open.
        await sleep(BURST_INTERVAL_MS * Math.floor(number / BURST));
        const id = `${name}-${host}-${number}`;
        return await platform.call(host, "POST", "/app/query", {
          headers: {
            "X-Briarhill-Attempt-Id": id,
            "X-Briarhill-Deadline-Ms": String(DEADLINE_MS),
          },
          body: id,
          timeoutMs: 2 * DEADLINE_MS,
        }).then(({ status, body, headers }) => {
          const signature = String(headers["x-briarhill-server-signature"]);
          return status === 200 && body.toString() === id &&
            signature.endsWith(`.${id}`);
        }, () => false);
      }),
    );
    return answers.filter((isServed) => isServed).length;
  }

  for (const cut of ["silent", "reset", "refused"] as const) {
    it(`serves its callers at the first try while its connections are ${cut}`, async () => {
      await sendAll(`before-${cut}`);
      CUT_HOSTS.forEach((host) =>
        platform.links.suspendHost(host, cut as LinkCut)
      );
      await sendAll(`noticing-${cut}`);
      await sleep(NOTICED_MS);
      const served = await sendAll(cut);
      await Promise.all(
        CUT_HOSTS.map((host) => platform.links.resumeHost(host)),
      );
      assert.deepEqual(served, Array.from({ length: HOSTS }, () => CALLS));
    });
  }

  function sendAll(name: string): Promise<readonly number[]> {
    return Promise.all(
      Array.from({ length: HOSTS }, (_, host) => countServed(host, name)),
    );
  }
});
