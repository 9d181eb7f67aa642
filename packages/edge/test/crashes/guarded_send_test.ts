import type { CrashRecord } from "@briarhill/routing/crashes/crash_record";
import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createCall, createForwarder } from "../calls/call_fixture.ts";

const DEADLINE_MS = 600;
const ENDPOINTS = 3;

/** An endpoint that never answers a call, so that the call is lost with its connection. */
class SilentEndpoint {
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => {
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (bytes: Buffer) => {
      const isProbe = bytes.toString().startsWith("GET");
      isProbe
        ? socket.end("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        : this.receivedCalls++;
    });
  });
  receivedCalls = 0;

  async start(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    const address = this.#server.address();
    return typeof address === "object" ? address?.port ?? 0 : 0;
  }

  /** Resets all connections and refuses new ones. */
  refuse(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }
}

async function runCall(
  refuse: (endpoints: readonly SilentEndpoint[]) => void,
): Promise<readonly CrashRecord[]> {
  const endpoints = Array.from(
    { length: ENDPOINTS },
    () => new SilentEndpoint(),
  );
  const ports = await Promise.all(endpoints.map((each) => each.start()));
  const found: CrashRecord[] = [];
  const parts = createForwarder(ports, (record) => found.push(record));
  const { forwarder, clock, sender, reach, directory } = parts;
  const other = { host: "127.0.0.9", failureDomain: "a", lostServices: [] };
  reach.paths.applyReach(other);
  const call = forwarder.forward(
    createCall(clock.getMonotonicMs() + DEADLINE_MS),
  );
  while (endpoints.every(({ receivedCalls }) => receivedCalls === 0)) {
    await sleep(5);
  }
  refuse(endpoints);
  await call;
  // Each endpoint restarts later for another reason.
  directory.applyRecords(ports.map((port, offset) => ({
    offset,
    key: `e-${port}`,
    value: Buffer.from(JSON.stringify({
      service: "s",
      address: `127.0.0.1:${port}`,
      zone: "a",
      state: "ready",
      born: 2,
      sequence: 1,
    })),
  })));
  await forwarder.forward(createCall(clock.getMonotonicMs() + 1));
  endpoints.forEach((endpoint) => endpoint.refuse());
  sender.close();
  reach.stop();
  return found;
}

describe("sendGuarded", () => {
  /** A cut host sees what looks like the end of all endpoints, and told all hosts that its requests crash them. */
  it("finds no ending while this host reaches no endpoint, also when they restart later", async () => {
    const found = await runCall((endpoints) =>
      endpoints.forEach((endpoint) => endpoint.refuse())
    );
    assert.deepEqual(found, []);
  });

  it("finds the ending of one endpoint while this host reaches others", async () => {
    const found = await runCall((endpoints) =>
      endpoints.find(({ receivedCalls }) => receivedCalls > 0)?.refuse()
    );
    assert.equal(found.length, 1);
  });
});
