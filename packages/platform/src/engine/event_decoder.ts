/**
 * Decodes the event stream of an engine, piece by piece.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { Buffer } from "node:buffer";
import { StringDecoder } from "node:string_decoder";
import { WEIGHT_VERSIONS } from "../names/headers.ts";

const EVENT_END = "\n\n";
/** The longest event, in characters; an event holds a few tokens. */
const MAX_EVENT_CHARACTERS = 65_536;
const VERSION_FIELD = WEIGHT_VERSIONS.toLowerCase();

/** One whole event. */
export interface StreamEvent {
  readonly id: number;
  readonly data: string;
  /** The version of the weights from this event on, where it changes. */
  readonly version: number | undefined;
}

/** Decodes the event stream of an engine; what breaks off inside an event is dropped. */
export class EventDecoder {
  readonly #decoder = new StringDecoder("utf8");
  #rest = "";

  /** Whether bytes of an event that has not ended were received. */
  get hasPartialEvent(): boolean {
    return this.#rest.trim() !== "";
  }

  /**
   * Takes the next bytes and returns the events that they complete. An event
   * without end is an {@link InputError}.
   *
   * @param bytes - The bytes.
   */
  addBytes(bytes: Buffer): readonly StreamEvent[] {
    this.#rest += this.#decoder.write(bytes).replaceAll("\r\n", "\n");
    const blocks = this.#rest.split(EVENT_END);
    this.#rest = blocks.pop() ?? "";
    if (this.#rest.length > MAX_EVENT_CHARACTERS) {
      throw new InputError(
        `an event is longer than ${MAX_EVENT_CHARACTERS} characters`,
        { props: { key: "event" } },
      );
    }
    return blocks.map(parseEvent).filter((event) => event !== undefined);
  }
}

function parseEvent(block: string): StreamEvent | undefined {
  let id: number | undefined;
  let version: number | undefined;
  const data: string[] = [];
  for (const line of block.split("\n")) {
    const colon = line.indexOf(":");
    const field = colon < 0 ? line : line.slice(0, colon);
    const value = colon < 0 ? "" : line.slice(colon + 1).replace(/^ /, "");
    if (field === "data") {
      data.push(value);
    } else if (field === "id") {
      id = Number(value);
    } else if (field.toLowerCase() === VERSION_FIELD) {
      version = Number(value);
    }
  }
  return id === undefined || !Number.isSafeInteger(id)
    ? undefined
    : { id, data: data.join("\n"), version };
}
