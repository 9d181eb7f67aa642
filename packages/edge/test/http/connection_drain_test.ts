import { openServer } from "@briarhill/common/http/open_server";
import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { ConnectionDrain } from "../../src/http/connection_drain.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const HOSTNAME = "127.0.0.1";

/** A client's connection, with what it has received. */
interface Client {
  readonly socket: Socket;
  readonly received: () => string;
  readonly closed: Promise<void>;
}

function openClient(port: number): Promise<Client> {
  let received = "";
  const socket = connect(port, HOSTNAME);
  socket.on("error", () => undefined);
  socket.on("data", (bytes) => received += bytes);
  const closed = new Promise<void>((resolve) => socket.once("close", resolve));
  return new Promise((resolve) =>
    socket.once(
      "connect",
      () => resolve({ socket, received: () => received, closed }),
    )
  );
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

/** Starts a server whose responses the test writes, and opens a connection to it. */
async function startServer() {
  const responses: ServerResponse[] = [];
  const server = createServer((_, response) => responses.push(response));
  const drain = new ConnectionDrain();
  drain.addServer(server);
  await openServer(server, { hostname: HOSTNAME, port: 0 });
  const { port } = server.address() as AddressInfo;
  const client = await openClient(port);
  await waitFor(() => drain.openConnections === 1);
  /** Sends a request and returns the response to write. */
  const sendRequest = async (): Promise<ServerResponse> => {
    const index = responses.length;
    client.socket.write(REQUEST);
    await waitFor(() => responses.length > index);
    return responses[index] as ServerResponse;
  };
  return { drain, client, sendRequest };
}

describe("ConnectionDrain", () => {
  /** A host exited while connections were open on which it still read requests. */
  it("closes a connection once the response that was under way is whole", async () => {
    const { drain, client, sendRequest } = await startServer();
    const response = await sendRequest();
    drain.close();
    assert.equal(drain.openConnections, 1);
    response.end("whole");
    await client.closed;
    assert.match(client.received(), /^Connection: close\r$/m);
    assert.match(client.received(), /whole$/);
    assert.equal(drain.openConnections, 0);
  });

  it("closes a connection after a response whose head was sent before", async () => {
    const { drain, client, sendRequest } = await startServer();
    const response = await sendRequest();
    response.write("part ");
    drain.close();
    response.end("whole");
    await client.closed;
    assert.match(client.received(), /whole/);
    assert.equal(drain.openConnections, 0);
  });

  it("answers a second request that was read behind one under way", async () => {
    const { drain, client, sendRequest } = await startServer();
    const first = await sendRequest();
    first.write("part ");
    const second = await sendRequest();
    drain.close();
    first.end("first");
    second.end("second");
    await client.closed;
    assert.match(client.received(), /first[^]*Connection: close[^]*second$/);
  });

  it("closes connections on which nothing was sent, and idle ones", async () => {
    const idle = await startServer();
    (await idle.sendRequest()).end("done");
    await waitFor(() => idle.client.received().includes("done"));
    const silent = await startServer();
    for (const { drain, client } of [idle, silent]) {
      drain.close();
      await client.closed;
      await waitFor(() => drain.openConnections === 0);
    }
  });

  it("asks clients to close connections before it closes any", async () => {
    const { drain, client, sendRequest } = await startServer();
    drain.announceClose();
    (await sendRequest()).end("whole");
    await client.closed;
    assert.match(client.received(), /^Connection: close\r$/m);
    drain.close();
  });
});
