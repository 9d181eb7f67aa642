/**
 * Encodes order and report calls to engines and decodes their responses. The
 * field names in the bodies belong to the engines' protocol and must not change.
 * @module
 */
import type { HttpResponse } from "@briarhill/common/http/http_exchange";
import type { LoadOrder } from "@briarhill/control/orders/weight_plan";
import { Buffer } from "node:buffer";
import { EXPECTED_INSTANCE } from "../names/headers.ts";
import { ORDER_PATH, REPORT_PATH } from "../names/paths.ts";
import { decodeModels } from "../records/endpoint_decoder.ts";
import { FieldReader } from "../records/field_reader.ts";

/** The reply of an engine to an order. */
export type OrderReply =
  | "accepted"
  | "holds-already"
  | "conflict"
  | "other-endpoint"
  | "rejected";

/** The state that an engine reports. */
export interface EngineReport {
  readonly models: ReadonlyMap<string, number>;
  /** Whether the engine is executing an order. */
  readonly isBusy: boolean;
  /** Number of orders accepted since the engine started. */
  readonly orderCount: number;
  readonly startedAtMs: number;
}

/** An order with the fields that let the engine reject it if it is stale. */
export interface FencedOrder extends LoadOrder {
  readonly holder: string;
  /** The fencing number of the lease; increases with each new lease holder. */
  readonly token: number;
  /** The engine's order count at the time of the decision. */
  readonly orderCount: number;
}

/** An HTTP call to an engine, without its address. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body?: Buffer;
}

/**
 * Returns the call that sends an order to an engine. Attempts in flight
 * continue under the new weights.
 *
 * @example
 * ```ts
 * const call = encodeOrder({
 *   engine: "i-1",
 *   model: "m0",
 *   version: 2,
 *   holder: "host-1",
 *   token: 7,
 *   orderCount: 0,
 * });
 * ```
 * @param order - The order.
 */
export function encodeOrder(order: FencedOrder): EngineCall {
  const body = {
    operation: "version",
    model: order.model,
    version: order.version,
    mode: "retain",
    holder: order.holder,
    fencingToken: order.token,
    // The engine rejects the order if its order count differs.
    expected: order.orderCount,
  };
  return {
    method: "POST",
    path: ORDER_PATH,
    headers: [
      EXPECTED_INSTANCE,
      order.engine,
      "Content-Type",
      "application/json",
    ],
    body: Buffer.from(JSON.stringify(body)),
  };
}

/**
 * Decodes the reply of an engine to an order.
 *
 * @example
 * ```ts
 * const reply = decodeOrderReply(202);
 * ```
 * @param status - The status code of the response.
 */
export function decodeOrderReply(status: number): OrderReply {
  switch (status) {
    case 202:
      return "accepted";
    case 200:
      return "holds-already";
    case 409:
      return "conflict";
    case 421:
      return "other-endpoint";
    default:
      return "rejected";
  }
}

/**
 * Returns the call that requests the state of an engine.
 *
 * @example
 * ```ts
 * const { path } = encodeReportCall("i-1");
 * ```
 * @param engine - The engine; any other engine at its address rejects the call.
 */
export function encodeReportCall(engine: string): EngineCall {
  return {
    method: "GET",
    path: REPORT_PATH,
    headers: [EXPECTED_INSTANCE, engine],
  };
}

/**
 * Decodes the report of an engine.
 *
 * @example
 * ```ts
 * declare const response: import("@briarhill/common/http/http_exchange").HttpResponse;
 *
 * const { orderCount } = decodeReport(response);
 * ```
 * @param response - The response to a report call.
 */
export function decodeReport({ body }: HttpResponse): EngineReport {
  const fields = FieldReader.parse("the engine report", body);
  return {
    models: decodeModels(fields),
    isBusy: fields.isTrue("busy"),
    // In a report, "sequence" counts orders; in an endpoint's entry it counts
    // entries.
    orderCount: fields.getInteger("sequence"),
    startedAtMs: fields.getNumber("born", 0),
  };
}
