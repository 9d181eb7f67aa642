import { HttpClient } from "@briarhill/ports/http/http_client";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { TcpRelay } from "../../src/relay/tcp_relay.ts";

describe("TcpRelay", () => {
  it("lets open connections go silent while new ones work", async () => {
    const server = createServer((_, response) => response.end("answer"));
    await new Promise<void>((resolve) => server.listen(0, resolve));
    const relay = new TcpRelay((server.address() as AddressInfo).port);
    await relay.start();
    const client = new HttpClient("test", relay.getAddress(), {
      firstByteTimeoutMs: 300,
    });
    const call = { operation: "get", method: "GET", path: "/" } as const;
    const read = async () =>
      await client.readText(await client.send(call), "get");
    try {
      assert.equal(await read(), "answer");
      // The client takes a moment to count the connection as idle.
      await new Promise((resolve) => setTimeout(resolve, 50));
      assert.equal(relay.suspendLinks(), 1);
      await assert.rejects(read(), { fault: "silent", outcome: "unknown" });
      assert.equal(await read(), "answer");
    } finally {
      await client.abort();
      await relay.stop();
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  });
});
