import { type ConnectionScript, createEndlessScript } from "./raw_endpoint.ts";
import { HEAD } from "./sender_fixture.ts";

/** A part of an endless response. */
export const CHUNK = "x".repeat(65_536);

/** Names of responses that no host may take for a complete one, the fault that is reported, and their bytes. */
export const FAULTY_RESPONSES:
  readonly (readonly [string, string, ConnectionScript])[] = [
    [
      "a head with endless header lines",
      "reset",
      createEndlessScript("HTTP/1.1 200 OK\r\n", {
        piece: "X-A: b\r\n".repeat(999),
      }),
    ],
    [
      "an endless line in the head",
      "reset",
      createEndlessScript("HTTP/1.1 200 OK\r\nX-A: ", { piece: CHUNK }),
    ],
    [
      "a head that arrives byte by byte with pauses",
      "silent",
      createEndlessScript("HTTP/1.1 200 OK\r\nX-A: ", {
        piece: "x",
        pauseMs: 20,
      }),
    ],
    [
      "an endless body without a Content-Length",
      "oversized",
      createEndlessScript(`${HEAD}\r\n`, { piece: CHUNK }),
    ],
    [
      "an endless body with a Content-Length",
      "oversized",
      createEndlessScript(`${HEAD}Content-Length: 9999999999\r\n\r\n`, {
        piece: CHUNK,
      }),
    ],
    [
      "an endless body in chunks",
      "oversized",
      createEndlessScript(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, {
        piece: `10000\r\n${CHUNK}\r\n`,
      }),
    ],
    [
      "a body that arrives byte by byte with pauses",
      "silent",
      createEndlessScript(`${HEAD}\r\n`, { piece: "x", pauseMs: 20 }),
    ],
    [
      "an endless chunk extension",
      "incomplete",
      createEndlessScript(`${HEAD}Transfer-Encoding: chunked\r\n\r\n1;a=`, {
        piece: CHUNK,
      }),
    ],
    [
      "endless trailers",
      "incomplete",
      createEndlessScript(`${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`, {
        piece: "X-A: b\r\n".repeat(999),
      }),
    ],
    [
      "bytes that are not an HTTP response",
      "reset",
      createEndlessScript("", { piece: CHUNK }),
    ],
    [
      "an endless rejection",
      "oversized",
      createEndlessScript(
        `${
          HEAD.replace("200 OK", "503 Full")
        }X-Briarhill-Not-Executed: 1\r\n\r\n`,
        { piece: CHUNK },
      ),
    ],
    [
      "a successful response without a signature",
      "malformed",
      (socket) =>
        socket.write(
          "HTTP/1.1 200 OK\r\nX-Briarhill-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n",
        ),
    ],
  ];
