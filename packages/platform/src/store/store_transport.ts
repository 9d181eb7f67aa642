/**
 * How calls reach the platform's store.
 * @module
 */
import type { HttpAnswer } from "@briarhill/common/http/http_exchange";
import type { Buffer } from "node:buffer";

/** One call to the store. */
export interface StoreCall {
  readonly method: string;
  /** The path with its query. */
  readonly path: string;
  readonly body?: Buffer;
  /** The longest wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether another host may make the call for this one. */
  readonly mayRelay: boolean;
}

/** Takes calls to the store to it, directly or through another host. */
export abstract class StoreTransport {
  /**
   * Makes a call; a failure is a `PortError`.
   *
   * @param call - The call.
   */
  abstract call(call: StoreCall): Promise<HttpAnswer>;
}
