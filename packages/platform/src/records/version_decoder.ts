/**
 * Decodes the versions of weights that trainers name.
 * @module
 */
import type { Buffer } from "node:buffer";
import { FieldReader } from "./field_reader.ts";

/** A version of the weights of one model that its trainer has named. */
export interface NamedVersion {
  readonly model: string;
  readonly version: number;
}

/**
 * Decodes the record in which a trainer names a version.
 *
 * @example
 * ```ts
 * const { version } = decodeVersion(Buffer.from('{"model":"m","version":2}'));
 * ```
 * @param value - The record's value.
 */
export function decodeVersion(value: Buffer): NamedVersion {
  const fields = FieldReader.parse("a named version", value);
  return {
    model: fields.getText("model"),
    version: fields.getInteger("version"),
  };
}
