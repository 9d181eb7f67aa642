/**
 * Bounds the bytes that connections bring beside the parts of responses, such as
 * blank lines, sizes of chunks or bytes that belong to no response. A faulty
 * server may send them until its connection is closed, and as they count as
 * activity, no idle timeout ends it.
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * The limit of the bytes between two parts of a response. A head or a chunk
 * extension of a sound one has up to 16 KiB; one read and the buffer of a paused
 * response hold 64 KiB each.
 */
const MAX_STRAY_BYTES = 262_144;

interface ConnectionState {
  strayBytes: number;
  /** Whether a response is due; no byte may arrive otherwise. */
  isAwaiting: boolean;
  onExceeded: () => void;
}

/** Closes connections that bring too many bytes that are no part of a response. */
export class StrayByteGuard {
  readonly #states = new WeakMap<Socket, ConnectionState>();

  /**
   * Records that a request is sent on a connection.
   *
   * @param socket - The connection.
   * @param onExceeded - Called if too many bytes arrive instead of a response; must close the connection.
   */
  addRequest(socket: Socket, onExceeded: () => void): void {
    const state = this.#states.get(socket) ?? this.#addSocket(socket);
    state.strayBytes = 0;
    state.isAwaiting = true;
    state.onExceeded = onExceeded;
  }

  /**
   * Records that a part of the response has arrived, such as an informational response.
   *
   * @param socket - The connection.
   */
  setProgress(socket: Socket): void {
    const state = this.#states.get(socket);
    if (state !== undefined) {
      state.strayBytes = 0;
    }
  }

  /**
   * Records each part of a body as it arrives, until the response is complete.
   *
   * @param response - The response, whose head has just arrived.
   */
  followBody(response: IncomingMessage): void {
    const { socket } = response;
    this.setProgress(socket);
    // A listener for its data would start the response before its reader is ready.
    const push = response.push.bind(response);
    response.push = (chunk: Buffer | null, ...rest) => {
      this.setProgress(socket);
      return push(chunk, ...rest);
    };
  }

  /**
   * Records that the response is complete, so that no byte is due.
   *
   * @param socket - The connection.
   */
  setIdle(socket: Socket): void {
    const state = this.#states.get(socket);
    if (state !== undefined) {
      state.isAwaiting = false;
    }
  }

  #addSocket(socket: Socket): ConnectionState {
    const state: ConnectionState = {
      strayBytes: 0,
      isAwaiting: true,
      onExceeded: () => undefined,
    };
    this.#states.set(socket, state);
    // The parser handles the bytes after this listener, and records their progress.
    socket.prependListener("data", (bytes: Buffer) => {
      state.strayBytes += bytes.length;
      if (!state.isAwaiting) {
        socket.destroy();
      } else if (state.strayBytes > MAX_STRAY_BYTES) {
        state.onExceeded();
      }
    });
    return state;
  }
}
