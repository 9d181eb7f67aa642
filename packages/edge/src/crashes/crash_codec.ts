/**
 * Encodes and decodes the records in which hosts share the endings of endpoints.
 * @module
 */
import { FieldReader } from "@briarhill/platform/records/field_reader";
import type { CrashRecord } from "@briarhill/routing/crashes/crash_record";
import { Buffer } from "node:buffer";

/**
 * Encodes an ending.
 *
 * @example
 * ```ts
 * declare const record: CrashRecord;
 *
 * const value = encodeCrash(record);
 * ```
 * @param record - The ending.
 */
export function encodeCrash(record: CrashRecord): Buffer {
  const { isTrial, ...fields } = record;
  return Buffer.from(JSON.stringify({ ...fields, trial: isTrial ? 1 : 0 }));
}

/**
 * Decodes an ending; throws an `InputError` if it is malformed.
 *
 * @example
 * ```ts
 * declare const value: Buffer;
 *
 * const { endpoint } = decodeCrash("d|e|1", value);
 * ```
 * @param key - The key of the record.
 * @param value - The value of the record.
 */
export function decodeCrash(key: string, value: Buffer): CrashRecord {
  const fields = FieldReader.parse(`the ending "${key}"`, value);
  return {
    digest: fields.getText("digest"),
    endpoint: fields.getText("endpoint"),
    startedAtMs: fields.getNumber("startedAtMs"),
    service: fields.getText("service"),
    softwareVersion: fields.getText("softwareVersion"),
    isTrial: fields.getNumber("trial") > 0,
    foundAtMs: fields.getNumber("foundAtMs"),
  };
}
