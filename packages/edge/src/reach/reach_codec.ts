/**
 * Encodes and decodes the records in which hosts share the services that they
 * have lost.
 * @module
 */
import { FieldReader } from "@briarhill/platform/records/field_reader";
import type { HostReach } from "@briarhill/routing/reach/host_reach";
import { Buffer } from "node:buffer";

/**
 * Encodes what a host says of itself.
 *
 * @example
 * ```ts
 * const value = encodeReach({ failureDomain: "a", lostServices: [] });
 * ```
 * @param reach - The services that the host has lost.
 */
export function encodeReach(
  { failureDomain, lostServices }: Omit<HostReach, "host">,
): Buffer {
  return Buffer.from(JSON.stringify({
    failureDomain,
    lostServices: lostServices.map((name) => ({ name })),
  }));
}

/**
 * Decodes what a host says of itself; throws an `InputError` if it is malformed.
 *
 * @example
 * ```ts
 * declare const value: Buffer;
 *
 * const { lostServices } = decodeReach("10.0.0.1", value);
 * ```
 * @param key - The key of the record.
 * @param value - The value of the record.
 */
export function decodeReach(key: string, value: Buffer): HostReach {
  const fields = FieldReader.parse(`the reach of host "${key}"`, value);
  return {
    host: key,
    failureDomain: fields.getText("failureDomain"),
    lostServices: fields.listObjects("lostServices").map((service) =>
      service.getText("name")
    ),
  };
}
