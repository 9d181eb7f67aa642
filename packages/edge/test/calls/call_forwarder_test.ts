import assert from "node:assert/strict";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { createCall, createForwarder } from "./call_fixture.ts";

const DEADLINE_MS = 800;
/** Far below the deadline; a busy machine delays timers. */
const AT_ONCE_MS = 400;

/** Returns ports on which nothing listens. */
async function listClosedPorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map((server) =>
      new Promise<number>((resolve) =>
        server.listen(0, "127.0.0.1", () => {
          const address = server.address();
          resolve(typeof address === "object" ? address?.port ?? 0 : 0);
        })
      )
    ),
  );
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((resolve) => server.close(() => resolve()))
    ),
  );
  return ports;
}

describe("CallForwarder.forward", () => {
  /** A refused connection is no attempt; calls repeated it each millisecond until their deadline. */
  it("rejects calls at once while all endpoints refuse connections, with few connection attempts", async () => {
    const { clock, forwarder, sender, reach } = createForwarder(
      await listClosedPorts(3),
    );
    const startMs = clock.getMonotonicMs();
    const reports = [];
    for (let call = 0; call < 10; call++) {
      reports.push(
        await forwarder.forward(
          createCall(clock.getMonotonicMs() + DEADLINE_MS),
        ),
      );
    }
    const tookMs = clock.getMonotonicMs() - startMs;
    sender.close();
    reach.stop();
    for (const { outcome } of reports) {
      assert.equal(outcome.kind, "refused");
      assert.ok(outcome.kind === "refused" && outcome.retryAfterMs);
    }
    const attempts = reports.reduce((sum, report) => sum + report.attempts, 0);
    assert.ok(attempts <= 2 * 3, `${attempts} attempts at 3 endpoints`);
    assert.ok(tookMs < AT_ONCE_MS, `${tookMs} ms for 10 calls`);
  });
});
