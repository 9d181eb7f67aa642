import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { isReset } from "../../src/http/response_completeness.ts";

const ROUNDS = 20;

/** Parts of answers passed as whole ones, and later whole ones as parts, as the end of a connection was misread. */
describe("isReset", () => {
  /** Returns what is told of a connection at its end, or 50 ms after its data if it does not end. */
  async function readEnd(
    end: (socket: Socket) => void,
  ): Promise<boolean | "error"> {
    const server = createServer({ pauseOnConnect: true }, (socket) => {
      socket.on("error", () => undefined);
      socket.write("data", () => end(socket));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.on("connect", () => socket.write("unread"));
    const told = await new Promise<boolean | "error">((resolve) => {
      socket.on("error", () => resolve("error"));
      socket.on("end", () => resolve(isReset(socket)));
      socket.on("data", () => setTimeout(() => resolve(isReset(socket)), 50));
    });
    socket.destroy();
    server.close();
    return told;
  }

  const cases:
    readonly (readonly [string, (socket: Socket) => void, boolean])[] = [
      ["reset", (socket) => socket.resetAndDestroy(), true],
      ["ended", (socket) => socket.end(), false],
      [
        "ended, then reset",
        (socket) => socket.end(() => socket.destroy()),
        false,
      ],
      ["open", () => undefined, false],
    ];
  for (const [title, end, expected] of cases) {
    it(`returns ${expected} for a connection that is ${title}`, async () => {
      for (let round = 0; round < ROUNDS; round++) {
        const told = await readEnd(end);
        // A reset that arrives apart from the data is reported as an error.
        assert.ok(
          told === expected || (expected && told === "error"),
          `${told}`,
        );
      }
    });
  }
});
