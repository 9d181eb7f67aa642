/**
 * Decodes what an endpoint says of itself in the platform's store.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { Buffer } from "node:buffer";
import { FieldReader } from "./field_reader.ts";

const ADDRESS = /^([0-9.]+):(\d{1,5})$/;

/**
 * Parses an address of the form IP:PORT.
 *
 * @example
 * ```ts
 * const { port } = parseAddress("10.0.0.1:8080");
 * ```
 * @param text - The text.
 */
export function parseAddress(text: string): HttpAddress {
  const [, hostname, port] = ADDRESS.exec(text) ?? [];
  if (hostname === undefined || Number(port) > 65_535) {
    throw new InputError(`the address "${text}" has not the form IP:PORT`);
  }
  return { hostname, port: Number(port) };
}

/**
 * Decodes the entry of an endpoint. An entry that another writer has spoilt is
 * an {@link InputError}: it names no endpoint to use.
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
  const fields = FieldReader.parse(`the entry of "${id}"`, value);
  const state = fields.getText("state");
  if (state !== "ready" && state !== "draining") {
    throw new InputError(`the entry of "${id}" has the state "${state}"`);
  }
  return {
    id,
    service: fields.getText("service"),
    address: parseAddress(fields.getText("address")),
    failureDomain: fields.getText("zone"),
    slots: Math.max(1, fields.getInteger("slots", 1)),
    isLeaving: state === "draining",
    coldMs: fields.getNumber("coldLeftMs", 0),
    startedAtMs: fields.getNumber("born", 0),
    models: decodeModels(fields),
    // Counts entries here; in reports and orders the same name counts orders.
    beat: fields.getInteger("sequence", 0),
  };
}

/**
 * Returns the versions of the models that an entry or a report lists.
 *
 * @example
 * ```ts
 * const models = decodeModels(new FieldReader("a report", { models: [] }));
 * ```
 * @param fields - The entry or the report.
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
