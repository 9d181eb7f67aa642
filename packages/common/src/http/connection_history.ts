/**
 * Remembers what each connection has carried. A faulty server may send a copy of
 * a response late, when the next response on the connection is expected. A
 * request must not be sent where such a copy could be taken for its response.
 * @module
 */
import type { Socket } from "node:net";

/** The maximum number of identifiers that are kept for each connection. */
const MAX_IDS = 64;

interface ConnectionState {
  /** The identifiers of the latest identified requests, in the order in which they were sent. */
  readonly exchangeIds: Set<string>;
  /** Whether the last request had no identifier. */
  isLastUnidentified: boolean;
  /** The number of bytes that were read until the last response was complete; undefined while it is not. */
  idleBytesRead: number | undefined;
}

/** Remembers what each connection has carried. */
export class ConnectionHistory {
  readonly #states = new WeakMap<Socket, ConnectionState>();

  /**
   * Returns whether bytes of an earlier response on a connection may be taken for
   * the response to a request. Copies of identified responses are told apart by
   * their identifier; those of unidentified ones only by the place where they arrive.
   *
   * @param socket - The connection.
   * @param exchangeId - The identifier that the response must echo; undefined if it echoes none.
   */
  isAmbiguous(socket: Socket, exchangeId: string | undefined): boolean {
    const state = this.#states.get(socket);
    if (state === undefined) {
      return false;
    }
    const hasStrayBytes = state.idleBytesRead !== undefined &&
      state.idleBytesRead !== socket.bytesRead;
    return hasStrayBytes ||
      (exchangeId === undefined
        ? state.isLastUnidentified
        : state.exchangeIds.has(exchangeId));
  }

  /**
   * Records that a request is sent on a connection.
   *
   * @param socket - The connection.
   * @param exchangeId - The identifier that the response must echo; undefined if it echoes none.
   */
  addExchange(socket: Socket, exchangeId: string | undefined): void {
    const exchangeIds = this.#states.get(socket)?.exchangeIds ?? new Set();
    if (exchangeId !== undefined) {
      exchangeIds.add(exchangeId);
    }
    const [oldest] = exchangeIds;
    if (oldest !== undefined && exchangeIds.size > MAX_IDS) {
      exchangeIds.delete(oldest);
    }
    this.#states.set(socket, {
      exchangeIds,
      isLastUnidentified: exchangeId === undefined,
      idleBytesRead: undefined,
    });
  }

  /**
   * Records that the last response on a connection is complete: bytes that arrive
   * from now on belong to no request.
   *
   * @param socket - The connection.
   */
  setIdle(socket: Socket): void {
    const state = this.#states.get(socket);
    if (state !== undefined) {
      state.idleBytesRead = socket.bytesRead;
    }
  }
}
