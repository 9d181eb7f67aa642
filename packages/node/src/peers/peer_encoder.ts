/**
 * Encodes tRPC messages between hosts as MessagePack, with arrays in place of
 * the named fields of tRPC's envelope.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { Packr } from "msgpackr";
import type { TrafficMeter } from "./traffic_meter.ts";

const METHODS = ["query", "mutation", "subscription", "subscription.stop"];
const RESULTS = ["data", "started", "stopped"];
const KIND_REQUEST = 0;
const KIND_RESULT = 1;
const KIND_ERROR = 2;
const KIND_OTHER = 3;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });

/** Encodes and decodes tRPC messages between hosts, and counts them. */
export class PeerEncoder {
  readonly #meter: TrafficMeter;

  constructor(meter: TrafficMeter) {
    this.#meter = meter;
  }

  /**
   * Encodes a message or a batch of messages.
   *
   * @param data - The message or batch that tRPC sends.
   */
  encode(data: unknown): Uint8Array<ArrayBuffer> {
    this.#meter.addMessageOut();
    const envelope = Array.isArray(data)
      ? data.map(encodeEnvelope)
      : encodeEnvelope(data);
    return packr.pack(envelope) as Uint8Array<ArrayBuffer>;
  }

  /**
   * Decodes a message or a batch of messages; throws an `InputError` if the frame is
   * malformed.
   *
   * @param data - The payload of a frame.
   */
  decode(data: string | ArrayBuffer | Uint8Array): unknown {
    if (typeof data === "string") {
      throw new InputError("received a text frame, expected a binary frame");
    }
    this.#meter.addMessageIn();
    const envelope = decodeArrayOrThrow(data);
    return Array.isArray(envelope[0])
      ? envelope.map(decodeEnvelope)
      : decodeEnvelope(envelope);
  }
}

interface TrpcMessage {
  readonly id?: unknown;
  readonly method?: string;
  readonly params?: { readonly path: string; readonly input?: unknown };
  readonly result?: { readonly type: string; readonly data?: unknown };
  readonly error?: unknown;
}

function encodeEnvelope(data: unknown): readonly unknown[] {
  const message = data as TrpcMessage;
  const method = METHODS.indexOf(message.method ?? "");
  const result = RESULTS.indexOf(message.result?.type ?? "");
  if (method >= 0) {
    const { path, input } = message.params ?? {};
    return [KIND_REQUEST, message.id, method, path, input];
  }
  if (result >= 0) {
    return [KIND_RESULT, message.id, result, message.result?.data];
  }
  if (message.error !== undefined) {
    return [KIND_ERROR, message.id, message.error];
  }
  return [KIND_OTHER, data];
}

function decodeArrayOrThrow(
  data: ArrayBuffer | Uint8Array,
): readonly unknown[] {
  let envelope: unknown;
  try {
    envelope = packr.unpack(new Uint8Array(data));
  } catch (cause) {
    throw new InputError("failed to decode a frame as MessagePack", { cause });
  }
  if (!Array.isArray(envelope)) {
    throw new InputError(
      "failed to decode a frame: expected a MessagePack array",
    );
  }
  return envelope;
}

function decodeEnvelope(envelope: unknown): unknown {
  if (!Array.isArray(envelope)) {
    throw new InputError(
      "failed to decode a message of a batch: expected an array",
    );
  }
  const [kind, id, third, fourth, input] = envelope;
  switch (kind) {
    case KIND_REQUEST:
      return {
        id,
        method: METHODS[Number(third)],
        params: { path: fourth, input },
      };
    case KIND_RESULT:
      return { id, result: { type: RESULTS[Number(third)], data: fourth } };
    case KIND_ERROR:
      return { id, error: third };
    default:
      return id;
  }
}
