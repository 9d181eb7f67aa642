/**
 * Checks and encodes texts that become headers or paths of HTTP requests. Node
 * rejects what HTTP can't carry only when a request is sent.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { Buffer } from "node:buffer";

const HEADER_NAME = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
const PATH = /^[\x21-\x7e\x80-\xff]+$/;

/**
 * Returns a text as the value of a header: characters beyond Latin-1 as the bytes of
 * their UTF-8 form. A value that is encoded already stays as it is.
 *
 * @example
 * ```ts
 * const value = encodeHeaderValue("lote 7");
 * ```
 * @param text - The text.
 */
export function encodeHeaderValue(text: string): string {
  const isLatin1 = [...text].every((character) => character <= "\u00ff");
  return isLatin1 ? text : Buffer.from(text, "utf8").toString("latin1");
}

/**
 * Throws an {@link InputError} if a header can't be sent.
 *
 * @example
 * ```ts
 * throwIfNoHeader("X-Note", "lote 7");
 * ```
 * @param name - The name of the header.
 * @param value - The encoded value.
 */
export function throwIfNoHeader(name: string, value: string): void {
  if (!HEADER_NAME.test(name) || !HEADER_VALUE.test(value)) {
    throw new InputError(
      `header ${JSON.stringify(name)} is ${
        JSON.stringify(value)
      }, expected a name and a value that HTTP can carry`,
      { props: { key: "headers" } },
    );
  }
}

/**
 * Throws an {@link InputError} if a path can't be sent.
 *
 * @example
 * ```ts
 * throwIfNoPath("/names/1");
 * ```
 * @param path - The path.
 */
export function throwIfNoPath(path: string): void {
  if (!PATH.test(path)) {
    throw new InputError(
      `path is ${
        JSON.stringify(path)
      }, expected one without spaces that HTTP can carry`,
      { props: { key: "path" } },
    );
  }
}
