/**
 * Decodes the records that endpoints publish about themselves in the platform's
 * store.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { Buffer } from "node:buffer";
import { isIPv4 } from "node:net";
import { FieldReader } from "./field_reader.ts";

const ADDRESS = /^([0-9.]+):(\d{1,5})$/;
const MAX_PORT = 65_535;
/** The number of slots above which an entry can't be one of a server. */
const MAX_SLOTS = 1_000_000;

/**
 * Parses an address of the form IP:PORT.
 *
 * @example
 * ```ts
 * const { port } = parseAddress("10.0.0.1:8080");
 * ```
 * @param text - The address as text.
 */
export function parseAddress(text: string): HttpAddress {
  const [, hostname, port] = ADDRESS.exec(text) ?? [];
  const isPort = Number(port) > 0 && Number(port) <= MAX_PORT;
  if (hostname === undefined || !isIPv4(hostname) || !isPort) {
    throw new InputError(
      `address "${text}" is invalid, expected IP:PORT with a port from 1 to 65535`,
    );
  }
  return { hostname, port: Number(port) };
}

/**
 * Decodes the entry of an endpoint. Throws an {@link InputError} for an entry
 * that another writer has corrupted, as it names no usable endpoint.
 *
 * @example
 * ```ts
 * const value = Buffer.from('{"service":"a","address":"10.0.0.1:80","state":"ready"}');
 * const { isLeaving } = decodeEndpoint("i-1", value);
 * ```
 * @param id - The record's key.
 * @param value - The record's value.
 */
export function decodeEndpoint(id: string, value: Buffer): EndpointStructure {
  const fields = FieldReader.parse(`the entry of endpoint "${id}"`, value);
  const state = fields.getText("state");
  if (state !== "ready" && state !== "draining") {
    throw new InputError(
      `entry of endpoint "${id}" has state "${state}", expected "ready" or "draining"`,
    );
  }
  const slots = fields.getInteger("slots", 1);
  if (slots > MAX_SLOTS) {
    throw new InputError(
      `entry of endpoint "${id}" has ${slots} slots, expected at most ${MAX_SLOTS}`,
    );
  }
  return {
    id,
    service: fields.getText("service"),
    softwareVersion: fields.getText("version", ""),
    address: parseAddress(fields.getText("address")),
    failureDomain: fields.getText("zone"),
    slots: Math.max(1, slots),
    isLeaving: state === "draining",
    isReclaimable: fields.isTrue("spot"),
    coldMs: fields.getNumber("coldLeftMs", 0),
    startedAtMs: fields.getInteger("born", 0),
    models: decodeModels(fields),
    // In an entry, "sequence" counts entries; in reports and orders it counts
    // orders.
    beat: fields.getInteger("sequence", 0),
  };
}

/**
 * Returns the weight version of each model that an entry or a report lists.
 *
 * @example
 * ```ts
 * const models = decodeModels(new FieldReader("a report", { models: [] }));
 * ```
 * @param fields - The fields of the entry or report.
 */
export function decodeModels(
  fields: FieldReader,
): ReadonlyMap<string, number> {
  return new Map(
    fields.listObjects("models").map((model) => [
      model.getText("name"),
      model.getInteger("version"),
    ]),
  );
}
