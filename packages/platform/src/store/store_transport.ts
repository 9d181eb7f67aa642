/**
 * Defines the transport of calls to the platform's store.
 * @module
 */
import type { HttpResponse } from "@briarhill/common/http/http_exchange";
import type { Buffer } from "node:buffer";

/** One call to the store. */
export interface StoreCall {
  readonly method: string;
  /** The path and query. */
  readonly path: string;
  readonly body?: Buffer;
  /** Maximum wait for the response, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether another host may relay the call. */
  readonly mayRelay: boolean;
}

/** Sends calls to the store, directly or relayed by another host. */
export abstract class StoreTransport {
  /**
   * Sends a call and returns its response; throws a `PortError` on failure.
   *
   * @param call - The call.
   */
  abstract call(call: StoreCall): Promise<HttpResponse>;
}
