import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import {
  probeEndpoint,
  type ProbeResult,
} from "../../src/reach/reach_probe.ts";

/** Longer than the timeout of a connection. */
const SLOW_MS = 250;

describe("probeEndpoint", () => {
  const check = (
    title: string,
    handle: RequestListener | undefined,
    expected: ProbeResult,
  ) =>
    it(title, async () => {
      const server = createServer(handle);
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const { port } = server.address() as AddressInfo;
      if (handle === undefined) {
        await new Promise((resolve) => server.close(resolve));
      }
      const address = { hostname: "127.0.0.1", port };
      assert.equal(await probeEndpoint(address, "/healthz"), expected);
      server.closeAllConnections();
      server.close();
    });

  check("reaches an endpoint whatever it answers", (_, response) => {
    response.writeHead(503).end();
  }, "reached");
  check("reaches an endpoint that resets the open connection", (request) => {
    request.socket.resetAndDestroy();
  }, "reached");
  /** A slow service was taken for one that this host can't reach, and its calls were rejected. */
  check("reaches a slow endpoint", (_, response) => {
    setTimeout(() => response.end(), SLOW_MS);
  }, "reached");
  check(
    "gets no answer of an endpoint that is silent",
    () => undefined,
    "silent",
  );
  check("is refused where nothing listens", undefined, "refused");
});
