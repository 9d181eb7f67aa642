/**
 * Checks the responses on connections before a parser reads them. Bytes that are no
 * HTTP response must not reach the parser, as it may accept them.
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { ResponseSyntaxError } from "../errors/errors.ts";
import {
  type ResponseExpectation,
  ResponseScanner,
} from "./response_scanner.ts";

/** The request that is sent on a connection. */
export interface GuardedExchange extends ResponseExpectation {
  /** Called once, at the first fault; must close the connection. */
  readonly onFault: (error: ResponseSyntaxError) => void;
}

interface ConnectionState {
  exchange: GuardedExchange;
  scanner: ResponseScanner;
  /** Whether a fault has been reported; nothing passes from then on. */
  isReported: boolean;
}

/** Checks the responses on connections that carry one request at a time. */
export class ResponseSyntaxGuard {
  readonly #states = new WeakMap<Socket, ConnectionState>();

  /**
   * Records that a request is sent on a connection; what arrives from now on is
   * checked as its response.
   *
   * @param socket - The connection.
   * @param exchange - What to do if the bytes are no response.
   */
  addRequest(socket: Socket, exchange: GuardedExchange): void {
    const state = this.#states.get(socket);
    const scanner = new ResponseScanner(exchange);
    if (state === undefined) {
      this.#addSocket(socket, { exchange, scanner, isReported: false });
    } else {
      Object.assign(state, { exchange, scanner });
    }
  }

  #addSocket(socket: Socket, state: ConnectionState): void {
    this.#states.set(socket, state);
    const push = socket.push.bind(socket);
    socket.push = (chunk: unknown, ...rest) => {
      const checked = checkChunk(state, chunk);
      const isPushed = checked !== undefined && push(checked, ...rest);
      reportFault(state);
      return isPushed && state.scanner.fault === undefined;
    };
  }
}

/** Returns what the parser may read of a chunk; the end of a connection is null. */
function checkChunk(
  { scanner, isReported }: ConnectionState,
  chunk: unknown,
): unknown {
  if (isReported) {
    return undefined;
  }
  if (Buffer.isBuffer(chunk)) {
    const count = scanner.checkBytes(chunk);
    return count === 0 ? undefined : chunk.subarray(0, count);
  }
  scanner.finish();
  return scanner.fault === undefined ? chunk : undefined;
}

function reportFault(state: ConnectionState): void {
  const { fault } = state.scanner;
  if (fault !== undefined && !state.isReported) {
    state.isReported = true;
    state.exchange.onFault(fault);
  }
}
