import fc from "fast-check";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { EventDecoder } from "../../src/engine/event_decoder.ts";

const STREAM =
  "id: 0\ndata: a\n\nx-briarhill-weight-versions: 3\nid: 1\ndata: ü\ndata: c\n\n";

describe("EventDecoder.addBytes", () => {
  it("decodes the same events for every split of the bytes into chunks", () => {
    const bytes = Buffer.from(STREAM);
    fc.assert(
      fc.property(
        fc.array(fc.nat(bytes.length), { maxLength: 8 }),
        (points) => {
          const cuts = [0, ...points, bytes.length].sort((a, b) => a - b);
          const decoder = new EventDecoder();
          const events = cuts.slice(1).flatMap((end, index) =>
            decoder.addBytes(bytes.subarray(cuts[index], end))
          );
          assert.deepEqual(events, [
            { id: 0, data: "a", version: undefined },
            { id: 1, data: "ü\nc", version: 3 },
          ]);
          assert.equal(decoder.hasPartialEvent, false);
        },
      ),
      { seed: 5 },
    );
  });

  it("reports a partial event when the stream ends inside an event", () => {
    const decoder = new EventDecoder();
    assert.deepEqual(decoder.addBytes(Buffer.from("id: 0\nda")), []);
    assert.equal(decoder.hasPartialEvent, true);
  });

  it("skips blocks without an integer id", () => {
    const decoder = new EventDecoder();
    const bytes = Buffer.from("data: a\n\nid: x\ndata: b\n\n: note\n\n");
    assert.deepEqual(decoder.addBytes(bytes), []);
  });
});
