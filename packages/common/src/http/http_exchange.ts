/**
 * What an outgoing HTTP request and its answer consist of.
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";

/** An address that requests are sent to. */
export interface HttpAddress {
  readonly hostname: string;
  readonly port: number;
}

/** One request to send. */
export interface HttpRequest {
  readonly address: HttpAddress;
  readonly method: string;
  /** The path with its query. */
  readonly path: string;
  /** Names and values in turn, so that names keep their spelling and repeats survive. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
  /**
   * Names the request where its answer echoes the name: it is not sent again on
   * a connection that has answered it, as a late copy of that answer would be
   * taken for the new one.
   */
  readonly exchangeId?: string;
  /** The longest wait for the head of the answer, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Ends the exchange early; the connection is closed. */
  readonly signal?: AbortSignal;
}

/** The head of an answer whose body is still to be read. */
export interface HttpHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  readonly stream: IncomingMessage;
}

/** A whole answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}
