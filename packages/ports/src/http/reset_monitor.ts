/**
 * Tells whether a response ends because its connection is reset. The HTTP client
 * library takes such a response as complete if it has no length.
 * @module
 */
import { isReset } from "@briarhill/common/http/response_completeness";
import type { Socket } from "node:net";

/** Watches the connections of one client for resets. */
export class ResetMonitor {
  #isReporting = false;

  /** Whether the listeners of a connection are being told that it was reset; a response that ends now is incomplete. */
  get isReporting(): boolean {
    return this.#isReporting;
  }

  /**
   * Adds a connection; must be called before other listeners are added.
   *
   * @param socket - The connection.
   */
  addSocket(socket: Socket): void {
    const report = () => {
      this.#isReporting = true;
      // Runs once all listeners have been called.
      queueMicrotask(() => this.#isReporting = false);
    };
    socket.prependListener("error", report);
    socket.prependListener("end", () => isReset(socket) && report());
  }
}
