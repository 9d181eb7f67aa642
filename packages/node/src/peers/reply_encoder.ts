/**
 * The encoder of the dialling end of a link. Its `decode` must never throw, as
 * tRPC's client would end the process.
 * @module
 */
import { PeerEncoder } from "./peer_encoder.ts";
import type { TrafficMeter } from "./traffic_meter.ts";

/** A message with an id that no request uses, which tRPC therefore ignores. */
const IGNORED_MESSAGE: unknown = { id: -1, result: { type: "stopped" } };

/**
 * Encodes requests and decodes replies. An invalid frame is reported to a
 * callback, as tRPC's client would end the process on an error of `decode`.
 */
export class ReplyEncoder extends PeerEncoder {
  readonly #onInvalidFrame: () => void;

  constructor(meter: TrafficMeter, onInvalidFrame: () => void) {
    super(meter);
    this.#onInvalidFrame = onInvalidFrame;
  }

  override decode(data: string | ArrayBuffer | Uint8Array): unknown {
    try {
      const message = super.decode(data);
      if (isReply(message)) {
        return message;
      }
    } catch {
      // Handled below like a message that is not a reply.
    }
    this.#onInvalidFrame();
    return IGNORED_MESSAGE;
  }
}

function isReply(message: unknown): boolean {
  return typeof message === "object" && message !== null &&
    ("result" in message || "error" in message);
}
