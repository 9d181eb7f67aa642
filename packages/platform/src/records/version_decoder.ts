/**
 * Decodes the weight versions that trainers announce.
 * @module
 */
import type { Buffer } from "node:buffer";
import { FieldReader } from "./field_reader.ts";

/** A weight version of a model that its trainer has announced. */
export interface AnnouncedVersion {
  readonly model: string;
  readonly version: number;
}

/**
 * Decodes the record in which a trainer announces a weight version.
 *
 * @example
 * ```ts
 * const { version } = decodeVersion(Buffer.from('{"model":"m","version":2}'));
 * ```
 * @param value - The record's value.
 */
export function decodeVersion(value: Buffer): AnnouncedVersion {
  const fields = FieldReader.parse("the announced version", value);
  return {
    model: fields.getText("model"),
    version: fields.getInteger("version"),
  };
}
