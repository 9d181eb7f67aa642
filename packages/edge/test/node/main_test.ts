import {
  HostProcess,
  readPeakKb,
} from "@briarhill/fakes/platform/host_process";
import { PlatformStandIn } from "@briarhill/fakes/platform/platform_stand_in";
import assert from "node:assert/strict";
import { execFileSync, spawn } from "node:child_process";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../../../../", import.meta.url));
/** The budget is 40 MB above an idle Node process, which takes about 40 MB itself. */
const MAX_MEMORY_RATIO = 2;

/** Returns the peak memory of an idle Node process. */
async function measureBaselineKb(): Promise<number> {
  const idle = spawn(process.execPath, ["-e", "setInterval(() => {}, 1000)"]);
  let peakKb = 0;
  for (let tries = 0; tries < 20; tries++) {
    await new Promise((resolve) => setTimeout(resolve, 25));
    peakKb = Math.max(peakKb, readPeakKb(idle.pid ?? 0));
  }
  idle.kill("SIGKILL");
  return peakKb;
}

describe("the bundled host process", () => {
  const platform = new PlatformStandIn(21_400);
  const hosts: HostProcess[] = [];

  async function waitReady(host: number): Promise<void> {
    await platform.waitFor(async () =>
      (await platform.call(host, "GET", "/briarhill/readyz")).status === 200
    );
  }

  before(async () => {
    execFileSync(process.execPath, [join(ROOT, "tools/bundle.js")]);
    const folder = await mkdtemp(join(tmpdir(), "briarhill-"));
    await platform.start();
    for (const number of [0, 1]) {
      hosts.push(
        new HostProcess({
          program: join(ROOT, "target/briarhilld.cjs"),
          folder,
          name: `host-${number}`,
          settings: platform.createSettings(number),
        }),
      );
    }
    await Promise.all(hosts.map((host) => host.start()));
    await Promise.all([waitReady(0), waitReady(1)]);
  });

  after(() => {
    hosts.forEach((host) => host.sendSignal("SIGKILL"));
    platform.stop();
  });

  it("runs a lot within its memory budget", async () => {
    const baselineKb = await measureBaselineKb();
    assert.equal((await platform.sendLot(0, "lot-a", 24)).status, 202);
    await platform.waitResults(1, "lot-a", 24);
    for (const host of hosts) {
      const ratio = host.getPeakKb() / baselineKb;
      assert.ok(ratio < MAX_MEMORY_RATIO, `${ratio.toFixed(2)}`);
    }
  });

  it("retains a lot and its result positions if all hosts are killed after the acknowledgement", async () => {
    const resultsBefore = await platform.readResults(0, "lot-a");
    assert.equal((await platform.sendLot(1, "lot-b", 12)).status, 202);
    hosts.forEach((host) => host.sendSignal("SIGKILL"));
    await Promise.all(hosts.map((host) => host.waitExit()));
    await Promise.all(hosts.map((host) => host.start()));
    await Promise.all([waitReady(0), waitReady(1)]);
    const results = await platform.waitResults(0, "lot-b", 12);
    assert.equal(new Set(results.map(({ id }) => id)).size, 12);
    assert.deepEqual(await platform.waitResults(1, "lot-b", 12), results);
    assert.deepEqual(await platform.readResults(0, "lot-a"), resultsBefore);
  });

  it("completes the requests in flight after SIGTERM and exits with 0", async () => {
    platform.services.forEach((service) => service.delayMs = 1_000);
    const call = platform.call(0, "POST", "/app/slow", {
      headers: {
        "X-Briarhill-Attempt-Id": "slow",
        "X-Briarhill-Deadline-Ms": "2000",
      },
      body: "x",
    });
    await new Promise((resolve) => setTimeout(resolve, 100));
    hosts[0]?.sendSignal("SIGTERM");
    await new Promise((resolve) => setTimeout(resolve, 100));
    // A second signal must not end the process before its requests.
    hosts[0]?.sendSignal("SIGTERM");
    assert.equal((await call).status, 200);
    const ready = await platform.call(0, "GET", "/briarhill/readyz");
    assert.equal(ready.status, 503);
    assert.equal(await hosts[0]?.waitExit(), 0);
    platform.services.forEach((service) => service.delayMs = 0);
  });

  it("exits with 2 and names the invalid setting with its file and line", async () => {
    const broken = new HostProcess({
      program: join(ROOT, "target/briarhilld.cjs"),
      folder: await mkdtemp(join(tmpdir(), "briarhill-")),
      name: "broken",
      settings: platform.createSettings(3).replace(
        /^partitions = 24$/m,
        "partitions = x",
      ),
    });
    await broken.start();
    assert.equal(await broken.waitExit(), 2);
    assert.match(
      broken.output.join(""),
      /broken\.ini:\d+: \[store\] partitions is "x", expected a number above 0/,
    );
  });
});
