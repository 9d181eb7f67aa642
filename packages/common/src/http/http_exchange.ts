/**
 * Types of an outgoing HTTP request and its response.
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";

/** The address of a server. */
export interface HttpAddress {
  readonly hostname: string;
  readonly port: number;
}

/** An outgoing request. */
export interface HttpRequest {
  readonly address: HttpAddress;
  readonly method: string;
  /** The path including the query. */
  readonly path: string;
  /**
   * Alternating names and values, which preserves the case of names and
   * repeated headers.
   */
  readonly headers: readonly string[];
  readonly body?: Buffer;
  /**
   * Identifies the request if its response echoes the identifier. Where late
   * copies occur, the request is not sent again on a connection that has carried
   * it, because a copy of the earlier response would be mistaken for the new one.
   */
  readonly exchangeId?: string;
  /** The timeout for the response head, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Cancels the exchange and closes its connection. */
  readonly signal?: AbortSignal;
}

/** The head of a response whose body has not been read yet. */
export interface HttpResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  readonly stream: IncomingMessage;
  /** Whether its connection has carried an earlier request. */
  readonly isReused: boolean;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}
