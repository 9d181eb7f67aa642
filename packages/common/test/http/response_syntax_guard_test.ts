import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { setImmediate as yieldToEvents } from "node:timers/promises";
import { PortError } from "../../src/errors/errors.ts";
import { HttpSender } from "../../src/http/http_sender.ts";
import { ResponseMemory } from "../../src/http/response_memory.ts";
import { listUnusualResponses } from "../../src/testing/unusual_responses.ts";
import type { ResponseBytes } from "../../src/testing/response_bytes.ts";
import {
  listEncodedResponses,
  listMalformedChunks,
  listMalformedFramings,
  listUndeclaredChunks,
} from "../../src/testing/malformed_bodies.ts";
import {
  listMalformedFields,
  listMalformedStatusLines,
} from "../../src/testing/malformed_heads.ts";

const CONTENT = { headers: ["X-Signature: s"], body: "body" };
const SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
const TIMEOUT_MS = 5_000;

/** How the bytes of a response are written. */
type Writing = "whole" | "byte by byte";

async function writeBytes(
  socket: Socket,
  text: string,
  writing: Writing,
): Promise<void> {
  const bytes = Buffer.from(text, "latin1");
  const pieceBytes = writing === "whole" ? bytes.length : 1;
  socket.setNoDelay();
  for (let offset = 0; offset < bytes.length; offset += pieceBytes) {
    socket.write(bytes.subarray(offset, offset + pieceBytes));
    await yieldToEvents();
  }
  // The bytes are read before the end.
  setTimeout(() => socket.end(), 2);
}

/** Returns the body of a response, or the outcome of a request that failed. */
async function sendTo(
  { text }: ResponseBytes,
  writing: Writing,
  connection: "new" | "kept",
): Promise<string> {
  let requests = connection === "new" ? 1 : 0;
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on(
      "data",
      () =>
        requests++ === 0
          ? socket.write(SOUND)
          : void writeBytes(socket, text, writing),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const sender = new HttpSender({
    port: "server",
    connectTimeoutMs: TIMEOUT_MS,
    maxConnections: 1,
    idleTimeoutMs: 1_000,
    maxBodyBytes: 1_000,
    memory: new ResponseMemory({ limitBytes: 1_000_000 }),
  });
  const send = () =>
    sender.send({
      address: {
        hostname: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
      },
      method: "GET",
      path: "/",
      headers: ["Host", "a"],
      headTimeoutMs: TIMEOUT_MS,
    }, TIMEOUT_MS);
  if (connection === "kept") {
    await send();
  }
  const result = await send().then(
    ({ body }) => body.toString(),
    (error: unknown) => {
      assert.ok(error instanceof PortError, String(error));
      return error.outcome;
    },
  );
  sender.close();
  server.close();
  return result;
}

/** Callers got what the parser made of bytes that were no HTTP response. */
describe("HttpSender.send with bytes that are no HTTP response", () => {
  function doTest(
    title: string,
    responses: readonly ResponseBytes[],
    expected: string,
  ): void {
    for (const writing of ["whole", "byte by byte"] as const) {
      for (const connection of ["new", "kept"] as const) {
        it(`${title}, ${writing} on a ${connection} connection`, async () => {
          const results = await Promise.all(responses.map(async (response) => {
            const result = await sendTo(response, writing, connection);
            return `${response.title}: ${result}`;
          }));
          const unexpected = results.filter((result) =>
            !result.endsWith(`: ${expected}`)
          );
          assert.deepEqual(unexpected, []);
        });
      }
    }
  }

  doTest("rejects status lines", listMalformedStatusLines(CONTENT), "unknown");
  doTest("rejects fields", listMalformedFields(CONTENT), "unknown");
  doTest("rejects framings", listMalformedFramings(CONTENT), "unknown");
  doTest("rejects chunks", listMalformedChunks(CONTENT), "unknown");
  doTest("rejects encodings", listEncodedResponses(CONTENT), "unknown");
  doTest("rejects undeclared chunks", listUndeclaredChunks(CONTENT), "unknown");
  doTest(
    "returns unusual responses",
    listUnusualResponses(CONTENT),
    CONTENT.body,
  );
});
