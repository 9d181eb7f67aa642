import { listMalformedResponses } from "@briarhill/common/testing/malformed_responses";
import assert from "node:assert/strict";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { createCall, createForwarder, createRoute } from "./call_fixture.ts";
import { RawEndpoint } from "./raw_endpoint.ts";
import { createRawResponse, HEAD } from "./sender_fixture.ts";

const DEADLINE_MS = 800;
const RETRY_DEADLINE_MS = 5_000;
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

  const malformed = listMalformedResponses({
    headers: HEAD.trimEnd().split("\r\n").slice(1),
    body: "malformed",
  });

  /** Forwards a call to endpoints that answer with these bytes. */
  async function forwardTo(
    responses: readonly string[],
    kind: "idempotent" | "non-idempotent",
  ) {
    let requests = 0;
    const endpoints = responses.map((text) =>
      new RawEndpoint((socket) => {
        requests++;
        socket.end(text, "latin1");
      })
    );
    const ports = await Promise.all(endpoints.map((each) => each.start()));
    const { clock, forwarder, sender, reach } = createForwarder(ports);
    const { outcome } = await forwarder.forward(
      createCall(clock.getMonotonicMs() + RETRY_DEADLINE_MS, {
        route: createRoute({ kind, timeoutMs: RETRY_DEADLINE_MS }),
      }),
    );
    sender.close();
    reach.stop();
    endpoints.forEach((each) => each.close());
    return { outcome, requests };
  }

  /** Callers got 500, or content that was not the server's, though another endpoint was sound. */
  it("sends an idempotent call to another endpoint after bytes that are no HTTP response", async () => {
    const sound = createRawResponse("a", "sound");
    for (const { title, text } of malformed) {
      const { outcome } = await forwardTo([text, sound], "idempotent");
      assert.equal(outcome.kind, "answered", title);
      const { body } = outcome.kind === "answered" ? outcome.httpAnswer : {};
      assert.equal(String(body), "sound", title);
    }
  });

  /** A non-idempotent request may have run, whatever its response looks like. */
  it("fails a non-idempotent call after bytes that are no HTTP response, without another attempt", async () => {
    for (const { title, text } of malformed) {
      const { outcome, requests } = await forwardTo(
        [text, text],
        "non-idempotent",
      );
      assert.equal(outcome.kind, "failed", title);
      assert.equal(requests, 1, title);
    }
  });
});
