/**
 * Counts the traffic on the sockets of the peer network.
 * @module
 */
import type { Socket } from "node:net";

/** The cumulative traffic of all sockets. */
export interface Traffic {
  readonly bytesIn: number;
  readonly bytesOut: number;
  /** The number of sockets opened so far, dialled or accepted. */
  readonly sockets: number;
  /** The number of WebSocket messages; each takes at least one TCP segment. */
  readonly messagesIn: number;
  readonly messagesOut: number;
}

/** Counts sockets, bytes and messages of the peer network. */
export class TrafficMeter {
  readonly #open = new Set<Socket>();
  #bytesIn = 0;
  #bytesOut = 0;
  #sockets = 0;
  #messagesIn = 0;
  #messagesOut = 0;

  /**
   * Starts counting the bytes of a socket.
   *
   * @param socket - The newly opened socket.
   */
  addSocket(socket: Socket): void {
    this.#sockets++;
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#bytesIn += socket.bytesRead;
      this.#bytesOut += socket.bytesWritten;
    });
  }

  /** Counts a received message. */
  addMessageIn(): void {
    this.#messagesIn++;
  }

  /** Counts a sent message. */
  addMessageOut(): void {
    this.#messagesOut++;
  }

  /** Returns the cumulative traffic of open and closed sockets. */
  getTraffic(): Traffic {
    let bytesIn = this.#bytesIn;
    let bytesOut = this.#bytesOut;
    for (const socket of this.#open) {
      bytesIn += socket.bytesRead;
      bytesOut += socket.bytesWritten;
    }
    return {
      bytesIn,
      bytesOut,
      sockets: this.#sockets,
      messagesIn: this.#messagesIn,
      messagesOut: this.#messagesOut,
    };
  }
}
