/**
 * Orders to engines and reports of their state.
 * @module
 */
import type { HttpAnswer } from "@briarhill/common/http/http_exchange";
import type { LoadOrder } from "@briarhill/control/orders/weight_plan";
import { Buffer } from "node:buffer";
import { EXPECTED_INSTANCE } from "../names/headers.ts";
import { ORDER_PATH, REPORT_PATH } from "../names/paths.ts";
import { decodeModels } from "../records/endpoint_decoder.ts";
import { FieldReader } from "../records/field_reader.ts";

/** What an engine answers to an order. */
export type OrderReply =
  | "accepted"
  | "holds-already"
  | "conflict"
  | "other-endpoint"
  | "rejected";

/** An engine's state. */
export interface EngineReport {
  readonly models: ReadonlyMap<string, number>;
  /** Whether an order is being carried out. */
  readonly isBusy: boolean;
  /** How many orders it has accepted since its start. */
  readonly orderCount: number;
  readonly startedAtMs: number;
}

/** An order with what makes it safe. */
export interface FencedOrder extends LoadOrder {
  readonly holder: string;
  /** Grows from holder to holder. */
  readonly token: number;
  /** The engine's count of orders that this one is based on. */
  readonly orderCount: number;
}

/** A call to an engine, without its address. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body?: Buffer;
}

/**
 * Returns the call that gives an order. Runs in progress go on under the new weights.
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
    // The count of orders that the engine must have when it begins.
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
 * Returns what an engine's answer to an order says.
 *
 * @example
 * ```ts
 * const reply = decodeOrderReply(202);
 * ```
 * @param status - The status of the answer.
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
 * Returns the call that asks for an engine's state.
 *
 * @example
 * ```ts
 * const { path } = encodeReportCall("i-1");
 * ```
 * @param engine - The engine; any other at its address refuses.
 */
export function encodeReportCall(engine: string): EngineCall {
  return {
    method: "GET",
    path: REPORT_PATH,
    headers: [EXPECTED_INSTANCE, engine],
  };
}

/**
 * Decodes a report.
 *
 * @example
 * ```ts
 * declare const answer: HttpAnswer;
 *
 * const { orderCount } = decodeReport(answer);
 * ```
 * @param answer - The answer to a report call.
 */
export function decodeReport({ body }: HttpAnswer): EngineReport {
  const fields = FieldReader.parse("an engine's report", body);
  return {
    models: decodeModels(fields),
    isBusy: fields.isTrue("busy"),
    // Counts orders here; in the list of endpoints the same name counts entries.
    orderCount: fields.getInteger("sequence"),
    startedAtMs: fields.getNumber("born", 0),
  };
}
