import { InputError } from "@briarhill/common/errors/errors";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeMessage, encodeMessage } from "../../src/peers/message_codec.ts";
import { PeerEncoder } from "../../src/peers/peer_encoder.ts";
import { TrafficMeter } from "../../src/peers/traffic_meter.ts";
import { createValues } from "../fixtures/mutations.ts";
import { ENVELOPES, GOSSIP_MESSAGES, packFrame } from "./peer_corpus.ts";

const SEED = 81;
const RUNS = 3000;

describe("decodeMessage", () => {
  it("returns a message that survives a round trip, or throws an InputError", () =>
    fc.assert(
      fc.property(createValues(GOSSIP_MESSAGES), (value) => {
        try {
          const message = decodeMessage(value);
          const again = decodeMessage(encodeMessage(message));
          assert.deepEqual(again, message);
        } catch (error) {
          assert(error instanceof InputError, String(error));
        }
      }),
      { seed: SEED, numRuns: RUNS },
    ));
});

describe("PeerEncoder.decode", () => {
  const encoder = new PeerEncoder(new TrafficMeter());

  function checkDecode(bytes: string | Uint8Array): void {
    try {
      encoder.decode(bytes);
    } catch (error) {
      assert(error instanceof InputError, String(error));
    }
  }

  it("returns a message or throws an InputError for arbitrary bytes", () => {
    const arbitraryBytes = fc.uint8Array({ maxLength: 400 });
    const valid = createValues(ENVELOPES).map(packFrame);
    const mutated = fc.tuple(valid, arbitraryBytes, fc.nat()).map(
      ([bytes, inserted, place]) => {
        const at = place % (bytes.length + 1);
        return Buffer.concat([bytes.subarray(0, at), inserted]);
      },
    );
    fc.assert(
      fc.property(
        fc.oneof(arbitraryBytes, valid, mutated, fc.string()),
        checkDecode,
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("throws an InputError for deeply nested or oversized arrays", () => {
    const nested = Buffer.alloc(100_000, 0x91);
    assert.throws(() => encoder.decode(nested), InputError);
    const long = Buffer.from("dd00ffffff".repeat(10), "hex");
    assert.throws(() => encoder.decode(long), InputError);
  });
});
