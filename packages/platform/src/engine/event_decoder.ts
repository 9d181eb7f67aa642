/**
 * Decodes the event stream of an engine incrementally. The result must not
 * depend on how the bytes are split into chunks.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { Buffer } from "node:buffer";
import { StringDecoder } from "node:string_decoder";
import { WEIGHT_VERSIONS } from "../names/headers.ts";

const EVENT_END = "\n\n";
/** Maximum length of an event, in characters; an event carries a few tokens. */
const MAX_EVENT_CHARACTERS = 65_536;
const VERSION_FIELD = WEIGHT_VERSIONS.toLowerCase();

/** One complete event. */
export interface StreamEvent {
  readonly id: number;
  readonly data: string;
  /** The weight version from this event onwards, where it changes. */
  readonly version: number | undefined;
}

/**
 * Decodes the event stream of an engine; an incomplete event at the end of the
 * stream is dropped.
 */
export class EventDecoder {
  readonly #decoder = new StringDecoder("utf8");
  #buffered = "";

  /** The number of characters of an incomplete event that are buffered. */
  get bufferedCharacters(): number {
    return this.#buffered.length;
  }

  /** Whether a part of an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#buffered.trim() !== "";
  }

  /**
   * Adds the next bytes and returns the events that they complete. Throws an
   * {@link InputError} when an incomplete event exceeds the maximum length.
   *
   * @param bytes - The next chunk of the stream.
   */
  addBytes(bytes: Buffer): readonly StreamEvent[] {
    this.#buffered += this.#decoder.write(bytes).replaceAll("\r\n", "\n");
    const blocks = this.#buffered.split(EVENT_END);
    this.#buffered = blocks.pop() ?? "";
    if (this.#buffered.length > MAX_EVENT_CHARACTERS) {
      throw new InputError(
        `event in the engine stream exceeds ${MAX_EVENT_CHARACTERS} characters`,
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
    : { id, data: toOwnText(data.join("\n")), version };
}

/** Copies a text, as a part of a string may keep the whole of it in memory. */
function toOwnText(text: string): string {
  return Buffer.from(text, "utf16le").toString("utf16le");
}
