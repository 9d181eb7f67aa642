/**
 * Seed corpus for the fuzz tests of messages between hosts.
 * @module
 */
import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });
const RECORD = ["host-9", 3, 0, 0, "127.0.0.1:9", "north", "east"];
const NONCE = new Uint8Array(16).fill(7);

/** Encoded batches of gossip. */
export const GOSSIP_MESSAGES: readonly unknown[] = [
  17,
  [17, false, [RECORD], []],
  [17, true, [RECORD, ["host-8", 1, 2, 6, "127.0.0.1:8", "s", "e"]], []],
  [17, false, [], [["topic", "host-9", 3, 1, { offset: 4 }]]],
];

/** Envelopes of tRPC requests and replies as encoded on a link. */
export const ENVELOPES: readonly unknown[] = [
  createRequest("hello", ["host-9", 3, NONCE]),
  createRequest("prove", [NONCE, "gossip"]),
  createRequest("gossip", GOSSIP_MESSAGES[1]),
  createRequest("ping", null),
  createRequest("request", ["claims.claim", { callId: "c" }]),
  [0, 1, 2, "news", null],
  [0, 1, 3],
  [1, 1, 0, ["host-0", 1, NONCE, NONCE]],
  [1, 1, 1],
  [1, 1, 2],
  [2, 1, { message: "x", code: -32600, data: { name: "n", outcome: "ran" } }],
  [2, null, { message: "x", code: -32600 }],
  [3, { method: "connectionParams", data: { a: "b" } }],
  [createRequest("ping", null), createRequest("ping", null)],
];

/** Encodes an envelope into a frame as sent on a link. */
export function packFrame(envelope: unknown): Uint8Array {
  return new Uint8Array(packr.pack(envelope));
}

function createRequest(path: string, input: unknown): readonly unknown[] {
  return [0, 1, 1, path, input];
}
