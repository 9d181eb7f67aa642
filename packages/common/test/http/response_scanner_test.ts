import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { ResponseScanner } from "../../src/http/response_scanner.ts";
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

/** Returns whether all bytes pass when they arrive in pieces of this size. */
function isAccepted(
  text: string,
  pieceBytes: number,
  method = "GET",
): boolean {
  const scanner = new ResponseScanner({ method });
  const bytes = Buffer.from(text, "latin1");
  for (let offset = 0; offset < bytes.length; offset += pieceBytes) {
    scanner.checkBytes(bytes.subarray(offset, offset + pieceBytes));
    if (scanner.fault !== undefined) {
      return false;
    }
  }
  scanner.finish();
  return scanner.fault === undefined;
}

/**
 * Callers got answers that were not the server's: the parser took a head that is
 * not HTTP for one, and read its body wherever it thought that the head ended.
 */
describe("ResponseScanner.checkBytes", () => {
  function doTest(
    title: string,
    responses: readonly ResponseBytes[],
    expected: boolean,
  ): void {
    it(title, () => {
      for (const { title, text } of responses) {
        for (const pieceBytes of [1, 3, text.length]) {
          const actual = isAccepted(text, pieceBytes);
          assert.equal(actual, expected, `${title} in ${pieceBytes}s`);
        }
      }
    });
  }

  doTest("rejects status lines", listMalformedStatusLines(CONTENT), false);
  doTest("rejects fields", listMalformedFields(CONTENT), false);
  doTest("rejects framings", listMalformedFramings(CONTENT), false);
  doTest("rejects chunks", listMalformedChunks(CONTENT), false);
  doTest("rejects encodings", listEncodedResponses(CONTENT), false);
  doTest("rejects undeclared chunks", listUndeclaredChunks(CONTENT), false);
  doTest("accepts unusual responses", listUnusualResponses(CONTENT), true);

  it("accepts fields that frame a body where none follows", () => {
    for (const framing of ["Content-Length: 4", "Transfer-Encoding: chunked"]) {
      const head = `HTTP/1.1 304 Not Modified\r\n${framing}\r\n\r\n`;
      assert.ok(isAccepted(head, 1));
      assert.ok(isAccepted(head.replace("304", "200"), 1, "HEAD"));
    }
    const empty = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
    assert.ok(isAccepted(empty, 1));
  });

  it("accepts a body without a length that only begins like chunks", () => {
    const head = "HTTP/1.1 200 OK\r\n\r\n";
    for (const body of ["1\r\n2\r\n3\r\n", "0\r\n", "4\r\nbody\r\n"]) {
      assert.ok(isAccepted(head + body, 1), body);
    }
  });

  it("rejects an event stream at the first chunk that the head does not name", () => {
    const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    assert.equal(isAccepted(`${head}9\r\ndata`, 1), false);
    assert.ok(isAccepted(`${head}data: 9\r\n\r\n`, 1));
  });

  it("returns how many bytes stand before the fault", () => {
    const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const sound = `${head}4\r\nbody\r\n`;
    const scanner = new ResponseScanner({ method: "GET" });
    assert.equal(
      scanner.checkBytes(Buffer.from(`${sound}x\r\n`)),
      sound.length,
    );
    assert.match(String(scanner.fault?.message), /chunk size/);
  });

  it("accepts an encoding that was asked for", () => {
    for (const { text } of listEncodedResponses(CONTENT)) {
      const scanner = new ResponseScanner({
        method: "GET",
        acceptsEncoding: true,
      });
      scanner.checkBytes(Buffer.from(text, "latin1"));
      assert.equal(scanner.fault, undefined);
    }
  });

  /** Backtracking over the blanks of one line kept a process busy for minutes. */
  it("rejects long lines of blanks at once", () => {
    const head = "HTTP/1.1 200 OK\r\n";
    const blanks = " ".repeat(200_000);
    const startMs = performance.now();
    for (
      const line of [`X:${blanks}\x01`, `X:a${blanks}\x01`, `0${blanks};\x01`]
    ) {
      assert.equal(isAccepted(`${head}${line}\r\n\r\n`, 1e6), false);
      const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
      assert.equal(isAccepted(`${chunked}${line}\r\n`, 1e6), false);
    }
    const tookMs = performance.now() - startMs;
    assert.ok(tookMs < 1_000, `took ${tookMs} ms`);
  });
});
