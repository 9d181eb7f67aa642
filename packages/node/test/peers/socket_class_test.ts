import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { WebSocketServer } from "ws";
import {
  createSocketClass,
  MAX_MESSAGE_BYTES,
} from "../../src/peers/socket_class.ts";

describe("createSocketClass", () => {
  /** A message of 100 MiB from one faulty host took as much memory at each host that had dialled it. */
  it("closes a link on which a message is too large, and not one on which it fits", async () => {
    for (
      const [bytes, expected] of [[MAX_MESSAGE_BYTES, "message"], [
        MAX_MESSAGE_BYTES + 1,
        "closed",
      ]] as const
    ) {
      const server = new WebSocketServer({ port: 0, host: "127.0.0.1" });
      await once(server, "listening");
      server.on("connection", (socket) => {
        socket.on("error", () => undefined);
        socket.send(Buffer.alloc(bytes));
      });
      const SocketClass = createSocketClass({
        meter: { addSocket: () => undefined } as never,
        timeoutMs: 1_000,
        onCreated: () => undefined,
      });
      const { port } = server.address() as AddressInfo;
      const socket = new SocketClass(`ws://127.0.0.1:${port}/`);
      const outcome = await new Promise<string>((resolve) => {
        socket.on("message", () => resolve("message"));
        socket.on("error", () => resolve("closed"));
      });
      socket.terminate();
      server.close();
      assert.equal(outcome, expected);
    }
  });
});
