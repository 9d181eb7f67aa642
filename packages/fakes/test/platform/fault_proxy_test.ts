import { isReset } from "@briarhill/common/http/response_completeness";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FaultProxy } from "../../src/platform/fault_proxy.ts";

const HOSTNAME = "127.0.0.1";
const PROXY_PORT = 21_390;
/** Long enough for bytes to cross two loopback sockets many times. */
const SETTLE_MS = 60;

/** A client and what it has received on its connection. */
interface Client {
  readonly socket: Socket;
  received: string;
  isClosed: boolean;
}

async function openClient(): Promise<Client> {
  const socket = connect(PROXY_PORT, HOSTNAME);
  const client = { socket, received: "", isClosed: false };
  socket.on("data", (bytes) => client.received += String(bytes));
  socket.on("error", () => undefined);
  socket.on("close", () => client.isClosed = true);
  await once(socket, "connect");
  return client;
}

describe("FaultProxy", () => {
  const echo = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.pipe(socket);
  });
  let proxy: FaultProxy;

  before(async () => {
    echo.listen(0, HOSTNAME);
    await once(echo, "listening");
    const { port } = echo.address() as AddressInfo;
    proxy = new FaultProxy({
      listen: { hostname: HOSTNAME, port: PROXY_PORT },
      target: { hostname: HOSTNAME, port },
    });
    await proxy.start();
  });

  after(() => {
    proxy.close();
    echo.close();
  });

  beforeEach(() => {
    proxy.setHeldDirection(undefined);
    proxy.setDelay(0);
  });

  it("relays delayed bytes in order", async () => {
    const client = await openClient();
    proxy.setDelay(1);
    ["a", "b", "c"].forEach((text) => client.socket.write(text));
    await sleep(SETTLE_MS);
    assert.equal(client.received, "abc");
    client.socket.end();
    await sleep(SETTLE_MS);
    assert.equal(client.isClosed, true);
  });

  it("holds back one direction and relays its bytes after release", async () => {
    for (const direction of ["requests", "answers"] as const) {
      const client = await openClient();
      proxy.setHeldDirection(direction);
      client.socket.write("held");
      await sleep(SETTLE_MS);
      assert.equal(client.received, "");
      proxy.setHeldDirection(undefined);
      await sleep(SETTLE_MS);
      assert.equal(client.received, "held");
      client.socket.destroy();
    }
  });

  it("closes open connections on abort", async () => {
    const client = await openClient();
    client.socket.write("a");
    await sleep(SETTLE_MS);
    proxy.abortConnections();
    await sleep(SETTLE_MS);
    assert.equal(client.isClosed, true);
  });

  it("stops relaying on suspended connections while new ones work", async () => {
    const old = await openClient();
    old.socket.write("a");
    await sleep(SETTLE_MS);
    proxy.suspendConnections();
    old.socket.write("b");
    const fresh = await openClient();
    fresh.socket.write("c");
    await sleep(SETTLE_MS);
    assert.deepEqual(
      [old.received, old.isClosed, fresh.received],
      ["a", false, "c"],
    );
    old.socket.destroy();
    fresh.socket.destroy();
  });

  /** A reset passed for the end of a response, so that no run could show what hosts make of it. */
  it("passes a reset on that arrives together with the last bytes", async () => {
    echo.once("connection", (socket: Socket) => {
      socket.once(
        "data",
        () => socket.write("last", () => socket.resetAndDestroy()),
      );
    });
    const client = await openClient();
    let wasReset = false;
    client.socket.on("error", () => wasReset = true);
    client.socket.on("end", () => wasReset ||= isReset(client.socket));
    const closed = once(client.socket, "close");
    client.socket.write("x");
    await closed;
    assert.equal(wasReset, true);
  });
});
