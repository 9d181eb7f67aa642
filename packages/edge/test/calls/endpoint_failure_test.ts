import { listUnusualResponses } from "@briarhill/common/testing/unusual_responses";
import { listMalformedResponses } from "@briarhill/common/testing/malformed_responses";
import { setLogWriter } from "@briarhill/common/logging/logger";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { type ConnectionScript, RawEndpoint } from "./raw_endpoint.ts";
import {
  createEndpoint,
  createRawResponse,
  createRequest,
  createSender,
  DUPLICATE_DELAY_MS,
  HEAD,
  REFUSED,
  sendTwice,
  TIMEOUT_MS,
} from "./sender_fixture.ts";

setLogWriter(() => undefined);

const OTHER_ENDPOINT = "HTTP/1.1 421 Misdirected Request\r\n";
const NO_CONTENT = "Content-Length: 0\r\n\r\n";
const REPORT_CALL = { method: "GET", path: "/report", headers: [] };

/** Answers the first request, and the second one with a copy of the first response before its own. */
function createCopyScript(
  response: string,
  ownResponse: string,
): ConnectionScript {
  let requests = 0;
  return (socket) => {
    if (requests++ === 0) {
      socket.write(response);
      return;
    }
    socket.write(response);
    setTimeout(() => socket.write(ownResponse), DUPLICATE_DELAY_MS);
  };
}

describe("isForeign on a late copy of a rejection", () => {
  /** Non-idempotent requests ran at two endpoints: a copy of a 421 was taken for the response to the next request. */
  const rejections: readonly (readonly [string, string])[] = [
    [
      "a 421 with its attempt id",
      `${OTHER_ENDPOINT}X-Briarhill-Attempt-Id: a\r\n${NO_CONTENT}`,
    ],
    ["a 421 without an attempt id", `${OTHER_ENDPOINT}${NO_CONTENT}`],
    ["a 503 with its attempt id", REFUSED],
    [
      "a 503 without an attempt id",
      `HTTP/1.1 503 Full\r\nX-Briarhill-Not-Executed: 1\r\n${NO_CONTENT}`,
    ],
    [
      "a 429 without an attempt id",
      `HTTP/1.1 429 Full\r\nX-Briarhill-Not-Executed: 1\r\n${NO_CONTENT}`,
    ],
  ];

  for (const [name, response] of rejections) {
    it(`does not take ${name} for the response to the next request`, async () => {
      const script = createCopyScript(
        response,
        createRawResponse("b", "body 1"),
      );
      const [first, second] = await sendTwice(script, {
        second: "b",
        pauseMs: 0,
      });
      assert.match(first ?? "", /^(421|503|429) $/);
      assert.equal(second, "malformed unknown");
    });
  }
});

/** Sends a request or a report call, then a report call, and returns the body of the last one or its fault. */
async function callReport(
  script: ConnectionScript,
  first: "request" | "report",
): Promise<string> {
  const server = new RawEndpoint(script);
  const endpoint = createEndpoint(await server.start());
  const { sender } = createSender();
  await (first === "request"
    ? sender.send(createRequest(endpoint))
    : sender.callControl(endpoint, REPORT_CALL, TIMEOUT_MS));
  const outcome = await sender.callControl(endpoint, REPORT_CALL, TIMEOUT_MS)
    .then(({ body }) => String(body), (error) => `${error.fault}`);
  sender.close();
  server.close();
  return outcome;
}

describe("EndpointSender.callControl on a late copy", () => {
  /** The state of an engine was read from the response to another request. */
  it("does not take the response to a request for a report", async () => {
    const script = createCopyScript(
      createRawResponse("a", "body 0"),
      createRawResponse("", "report"),
    );
    assert.equal(await callReport(script, "request"), "malformed");
  });

  it("does not take an earlier report for a later one", async () => {
    const lastResponses = new Map<Socket, string>();
    let reports = 0;
    const script: ConnectionScript = (socket) => {
      const own = createRawResponse("", `report ${reports++}`);
      socket.write(lastResponses.get(socket) ?? "");
      setTimeout(() => socket.write(own), DUPLICATE_DELAY_MS);
      lastResponses.set(socket, own);
    };
    assert.equal(await callReport(script, "report"), "report 1");
  });
});

/** Callers got half of an answer as a complete one, and hosts acted on half of a report. */
describe("EndpointSender with a response that ends with its connection", () => {
  /** Heads of the responses to calls, and to control calls, which echo no id. */
  const HEADS = { "call": HEAD, "control call": "HTTP/1.1 200 OK\r\n" };
  const ROUNDS = 10;

  /** Returns the body or the outcome of a call that the endpoint answers with this script. */
  async function sendTo(
    script: ConnectionScript,
    kind: "call" | "control call",
  ): Promise<string> {
    const server = new RawEndpoint(script);
    const endpoint = createEndpoint(await server.start());
    const { sender } = createSender();
    const sent = kind === "call"
      ? sender.send(createRequest(endpoint))
        .then(({ httpAnswer }) => httpAnswer)
      : sender.callControl(
        endpoint,
        REPORT_CALL,
        TIMEOUT_MS,
      );
    const result = await sent.then(
      ({ body }) => body.toString(),
      (error) => `${error.fault} ${error.outcome}`,
    );
    sender.close();
    server.close();
    return result;
  }

  for (const kind of ["call", "control call"] as const) {
    it(`rejects a ${kind} whose response is reset before its last bytes are read`, async () => {
      const script: ConnectionScript = (socket) =>
        socket.write(
          `${HEADS[kind]}\r\npart`,
          () => socket.resetAndDestroy(),
        );
      for (let round = 0; round < ROUNDS; round++) {
        assert.equal(await sendTo(script, kind), "incomplete unknown");
      }
    });

    it(`returns the response to a ${kind} whose connection is closed`, async () => {
      const script: ConnectionScript = (socket) =>
        socket.end(`${HEADS[kind]}\r\nwhole`);
      assert.equal(await sendTo(script, kind), "whole");
    });
  }
});

/** Callers got content that was not the server's, and hosts acted on reports that were none. */
describe("EndpointSender with bytes that are no HTTP response", () => {
  const headers = HEAD.trimEnd().split("\r\n").slice(1);

  /** Returns the body of the response, or the outcome of the failed request. */
  async function sendTo(
    text: string,
    purpose: "call" | "scoring" | "control",
  ): Promise<string> {
    const server = new RawEndpoint((socket) => socket.end(text, "latin1"));
    const endpoint = createEndpoint(await server.start());
    const { sender } = createSender();
    const sent = purpose === "control"
      ? sender.callControl(endpoint, REPORT_CALL, TIMEOUT_MS)
      : sender.send({ ...createRequest(endpoint), purpose })
        .then(({ httpAnswer }) => httpAnswer);
    return await sent.then(
      ({ body }) => body.toString(),
      (error) => error.outcome,
    ).finally(() => {
      sender.close();
      server.close();
    });
  }

  for (const purpose of ["call", "scoring", "control"] as const) {
    // Responses to control calls echo no id.
    const content = {
      headers: purpose === "control" ? ["X-Report: 1"] : headers,
      body: "body",
    };
    it(`fails for the purpose "${purpose}" and returns unusual responses`, async () => {
      for (const { title, text } of listMalformedResponses(content)) {
        assert.equal(await sendTo(text, purpose), "unknown", title);
      }
      for (const { title, text } of listUnusualResponses(content)) {
        const expected = purpose === "scoring" ? "" : "body";
        assert.equal(await sendTo(text, purpose), expected, title);
      }
    });
  }
});
