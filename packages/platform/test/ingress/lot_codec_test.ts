import { InputError } from "@briarhill/common/errors/errors";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { decodeLot } from "../../src/ingress/lot_codec.ts";

const SUBMISSION = { id: "lot", host: "h", path: "/p/lot", acceptedAtMs: 0 };

function createItem(
  fields: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  return { id: "a", path: "/a", headers: {}, body: "", ...fields };
}

function decodeItem(fields: Readonly<Record<string, unknown>>) {
  const body = { model: "m", items: [createItem(fields)] };
  return decodeLot(Buffer.from(JSON.stringify(body)), SUBMISSION).samples[0];
}

describe("decodeLot with an item that HTTP can't carry", () => {
  function testRejected(
    name: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    it(`rejects ${name}`, () => {
      assert.throws(() => decodeItem(fields), InputError);
    });
  }

  /** One such item ended each host that ran it, one after the other, as long as its lot was kept. */
  testRejected("a header value with a line break", {
    headers: { "X-Note": "a\r\nX-Other: b" },
  });
  testRejected("a header name with a space", { headers: { "X Note": "a" } });
  testRejected("a path with a space", { path: "/a b" });
  testRejected("a path beyond Latin-1", { path: "/a\u2014b" });
  testRejected("an id with a line break", { id: "a\nb" });
  testRejected("a scoring path with a space", {
    scorer: { id: "s", host: "h", path: "/q r", body: "" },
  });

  it("keeps header values beyond Latin-1 as the bytes of their UTF-8 form", () => {
    const headers = { "X-Note": "Wayuu \u2014 lote 7", "X-Other": "caf\u00e9" };
    assert.deepEqual(decodeItem({ headers })?.headers, [
      ["X-Note", "Wayuu \u00e2\u0080\u0094 lote 7"],
      ["X-Other", "caf\u00e9"],
    ]);
  });
});
