/**
 * Encodes the calls in which hosts ask the owner of a service's permits for a
 * permit, and report the limits that they know.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import { FieldReader } from "@briarhill/platform/records/field_reader";
import type { PermitRequest } from "@briarhill/routing/limits/permit";
import { Buffer } from "node:buffer";

/** What a host knows of the limit of one endpoint. */
export interface LimitReport {
  readonly endpoint: EndpointId;
  /** The start time of the endpoint's incarnation in milliseconds since 1970. */
  readonly startedAtMs: number;
  /** Requests per second from all hosts together, or undefined if the limit has ended. */
  readonly ratePerS: number | undefined;
  /** The age of the response that stated it, in milliseconds; the clocks of two hosts can't be compared. */
  readonly ageMs: number;
}

/** A call to the owner of a service's permits. */
export interface PermitCall {
  readonly service: string;
  readonly limits: readonly LimitReport[];
  /** The permit that the host asks for, if it asks for one. */
  readonly request?: Omit<PermitRequest, "id">;
}

/** The reply to a call: the decision on the request, or "noted" if the call asked for no permit. */
export type PermitReply =
  | { readonly kind: "noted" }
  | { readonly kind: "granted"; readonly endpoint: EndpointId }
  | { readonly kind: "rejected"; readonly retryAfterMs: number };

/**
 * Encodes a call as JSON.
 *
 * @example
 * ```ts
 * const body = encodePermitCall({ service: "app", limits: [] });
 * ```
 * @param call - The call.
 */
export function encodePermitCall(call: PermitCall): Buffer {
  const { request } = call;
  return Buffer.from(JSON.stringify({
    ...call,
    ...(request === undefined
      ? {}
      : { request: { ...request, endpoints: request.endpoints.join(" ") } }),
  }));
}

/**
 * Decodes a call; throws an `InputError` if it is malformed.
 *
 * @example
 * ```ts
 * const { service } = decodePermitCall(Buffer.from('{"service":"app"}'));
 * ```
 * @param body - The body of the call.
 */
export function decodePermitCall(body: Buffer): PermitCall {
  const fields = FieldReader.parse("the permit call", body);
  const request = fields.getObject("request");
  return {
    service: fields.getText("service"),
    limits: fields.listObjects("limits").map((limit) => ({
      endpoint: limit.getText("endpoint"),
      startedAtMs: limit.getNumber("startedAtMs"),
      ratePerS: limit.hasField("ratePerS")
        ? limit.getNumber("ratePerS")
        : undefined,
      ageMs: limit.getNumber("ageMs"),
    })),
    ...(request === undefined ? {} : {
      request: {
        flow: request.getText("flow"),
        // Missing in calls of older hosts.
        ...(request.hasField("workspace")
          ? { workspace: request.getText("workspace") }
          : {}),
        priority: request.getNumber("priority"),
        endpoints: request.getText("endpoints").split(" "),
        maxWaitMs: request.getNumber("maxWaitMs"),
      },
    }),
  };
}

/**
 * Decodes a reply; throws an `InputError` if it is malformed.
 *
 * @example
 * ```ts
 * const { kind } = decodePermitReply(Buffer.from('{"kind":"noted"}'));
 * ```
 * @param body - The body of the reply.
 */
export function decodePermitReply(body: Buffer): PermitReply {
  const fields = FieldReader.parse("the permit reply", body);
  switch (fields.getText("kind")) {
    case "granted":
      return { kind: "granted", endpoint: fields.getText("endpoint") };
    case "rejected":
      return {
        kind: "rejected",
        retryAfterMs: fields.getNumber("retryAfterMs"),
      };
    default:
      return { kind: "noted" };
  }
}
