import { setLogWriter } from "@briarhill/common/logging/logger";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import type { EndpointSender } from "../../src/calls/endpoint_sender.ts";
import { RawEndpoint } from "../calls/raw_endpoint.ts";
import {
  createEndpoint,
  createRequest,
  createSender,
  HEAD,
  TIMEOUT_MS,
} from "../calls/sender_fixture.ts";

setLogWriter(() => undefined);

describe("EndpointDirectory.setLeaving", () => {
  const leaving = `${HEAD}Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n`;
  const answers: readonly (readonly [string, string])[] = [
    ["success", leaving],
    ["failure", leaving.replace("200 OK", "500 Failed")],
    [
      "refusal",
      leaving.replace("200 OK", "503 Full\r\nX-Briarhill-Not-Executed: 1"),
    ],
  ];

  async function testLeaving(
    answer: string,
    expected: readonly string[],
    call: (sender: EndpointSender, endpoint: EndpointStructure) => unknown,
  ): Promise<void> {
    const server = new RawEndpoint((socket) => socket.write(answer));
    const port = await server.start();
    const { sender, directory } = createSender();
    const endpoint = createEndpoint(port);
    const entry = {
      service: "s",
      address: `127.0.0.1:${port}`,
      state: "ready",
      zone: "a",
      born: 100,
      sequence: 1,
    };
    const value = Buffer.from(JSON.stringify(entry));
    directory.applyRecords([{ key: "e", value, offset: 0 }]);
    await call(sender, endpoint);
    assert.deepEqual(
      directory.listEndpoints("s").map(({ id }) => id),
      expected,
    );
    sender.close();
    server.close();
  }

  for (const [name, answer] of answers) {
    it(`gives it no more work after a ${name} that says so`, async () => {
      await testLeaving(
        answer,
        [],
        (sender, endpoint) => sender.send(createRequest(endpoint)),
      );
    });
  }

  it("gives it no more work after an answer to a call of control", async () => {
    await testLeaving(
      leaving,
      [],
      (sender, endpoint) =>
        sender.callControl(
          endpoint,
          { method: "GET", path: "/r", headers: [] },
          TIMEOUT_MS,
        ),
    );
  });

  it("goes on where another endpoint has taken the address over", async () => {
    await testLeaving(
      leaving.replace("200 OK", "421 Other"),
      ["e"],
      (sender, endpoint) => sender.send(createRequest(endpoint)),
    );
  });
});
