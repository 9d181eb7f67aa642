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
  const responses: readonly (readonly [string, string])[] = [
    ["successful", leaving],
    ["failed", leaving.replace("200 OK", "500 Failed")],
    [
      "rejected",
      leaving.replace("200 OK", "503 Full\r\nX-Briarhill-Not-Executed: 1"),
    ],
  ];

  async function testLeaving(
    response: string,
    expected: readonly string[],
    call: (sender: EndpointSender, endpoint: EndpointStructure) => unknown,
  ): Promise<void> {
    const server = new RawEndpoint((socket) => socket.write(response));
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

  for (const [name, response] of responses) {
    it(`no longer lists the endpoint after a ${name} response that reports leaving`, async () => {
      await testLeaving(
        response,
        [],
        (sender, endpoint) => sender.send(createRequest(endpoint)),
      );
    });
  }

  it("no longer lists the endpoint after a control response that reports leaving", async () => {
    await testLeaving(
      // A control call has no attempt id that an endpoint could echo.
      leaving.replace("X-Briarhill-Attempt-Id: a\r\n", ""),
      [],
      (sender, endpoint) =>
        sender.callControl(
          endpoint,
          { method: "GET", path: "/r", headers: [] },
          TIMEOUT_MS,
        ),
    );
  });

  it("keeps listing the endpoint after a response from another endpoint at its address", async () => {
    await testLeaving(
      leaving.replace("200 OK", "421 Other"),
      ["e"],
      (sender, endpoint) => sender.send(createRequest(endpoint)),
    );
  });
});

describe("EndpointDirectory.applyRecords with an entry of another writer", () => {
  const NESTING = 500_000;
  const deep = "[".repeat(NESTING) + "]".repeat(NESTING);
  const sound = {
    service: "s",
    address: "127.0.0.1:80",
    state: "ready",
    zone: "a",
    born: 100,
    sequence: 1,
  };
  const format = (fields: object) => JSON.stringify({ ...sound, ...fields });
  const withDeep = (name: string) =>
    format({ [name]: "DEEP" }).replace('"DEEP"', deep);

  /** One entry that couldn't be decoded stopped the host from applying the entries after it, at each read again. */
  const check = (title: string, entry: string) =>
    it(`lists the other endpoints, and none for ${title}`, () => {
      const { directory } = createSender();
      const records = [
        { key: "odd", value: Buffer.from(entry), offset: 0 },
        { key: "sound", value: Buffer.from(format({})), offset: 1 },
      ];
      for (const apply of ["applyRecords", "applySnapshot"] as const) {
        directory[apply](records);
        assert.deepEqual(
          directory.listEndpoints("s").map(({ id }) => id),
          ["sound"],
        );
      }
    });

  for (const field of Object.keys(sound)) {
    check(`a deeply nested "${field}"`, withDeep(field));
  }
  check("deeply nested slots", withDeep("slots"));
  check("deeply nested models", withDeep("models"));
  check("a number beyond all numbers", '{"sequence":1e999}');
  check("an incarnation beyond all times", format({ born: 1e308 }));
  check("slots beyond all servers", format({ slots: 9_007_199_254_740_991 }));
  for (
    const address of [
      "127.0.0.1:0",
      "127.0.0.1:65536",
      "127.0.0.1:99999999999",
      "999.999.1:80",
      "....:80",
      "256.0.0.1:80",
      "127.0.0.1",
    ]
  ) {
    check(`the address "${address}"`, format({ address }));
  }
  check("bytes that can't be read", "\u0000\ufffd{");
});
