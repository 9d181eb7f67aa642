import { InputError } from "@briarhill/common/errors/errors";
import fc from "fast-check";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { decodeRead, encodeRecords } from "../../src/store/log_frames.ts";

function createRead(frames: Buffer, endOffset = 9, firstOffset = 0): Buffer {
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(endOffset), 0);
  head.writeBigUInt64BE(BigInt(firstOffset), 8);
  return Buffer.concat([head, frames]);
}

describe("encodeRecords", () => {
  it("writes length, key length, key and value", () => {
    const body = encodeRecords([{ key: "k", value: Buffer.from("ab") }], true);
    assert.deepEqual([...body], [0, 0, 0, 4, 1, 107, 97, 98]);
  });

  it("rejects a key that is too long", () => {
    assert.throws(
      () =>
        encodeRecords([{ key: "k".repeat(256), value: Buffer.alloc(0) }], true),
      InputError,
    );
  });

  it("round-trips the values of keyed and unkeyed records", () => {
    fc.assert(
      fc.property(
        fc.boolean(),
        fc.array(
          fc.record({
            key: fc.string({ minLength: 1, maxLength: 40 }),
            value: fc.uint8Array({ maxLength: 64 }),
          }),
        ),
        (isKeyed, written) => {
          const records = written.map(({ key, value }) => ({
            key,
            value: Buffer.from(value),
          }));
          const read = decodeRead(
            createRead(encodeRecords(records, isKeyed)),
            { fromOffset: 3, isKeyed },
          );
          assert.equal(read.nextOffset, 3 + records.length);
          assert.deepEqual(
            read.records.map(({ value }) => [...value]),
            records.map(({ value }) => [...value]),
          );
        },
      ),
      { seed: 1 },
    );
  });
});

describe("decodeRead", () => {
  it("starts at the first retained record", () => {
    const frames = encodeRecords([{ value: Buffer.from("a") }], false);
    const read = decodeRead(createRead(frames, 9, 8), {
      fromOffset: 3,
      isKeyed: false,
    });
    assert.equal(read.records[0]?.offset, 8);
  });

  it("skips a record with a malformed key", () => {
    const frames = Buffer.concat([
      Buffer.from([0, 0, 0, 2, 9, 97]),
      encodeRecords([{ key: "k", value: Buffer.from("v") }], true),
    ]);
    const read = decodeRead(createRead(frames), {
      fromOffset: 0,
      isKeyed: true,
    });
    assert.deepEqual(
      read.records.map(({ offset, key }) => ({ offset, key })),
      [{ offset: 1, key: "k" }],
    );
  });

  it("returns records or throws an InputError for arbitrary bytes", () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 80 }), (bytes) => {
        try {
          decodeRead(Buffer.from(bytes), { fromOffset: 0, isKeyed: true });
        } catch (error) {
          assert.ok(error instanceof InputError);
        }
      }),
      { seed: 2 },
    );
  });
});
