/**
 * Tells what one connection of a client does, and accounts for the bytes of its
 * head and of the answers that it has not read.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type {
  ConnectionState,
  ConnectionStructure,
} from "@briarhill/routing/admission/connection_choice";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Holding, HostMemory } from "../memory/host_memory.ts";
import type { StallLimits } from "./connection_guard.ts";

/** The time without progress after which a connection counts as stalled, in milliseconds. */
const STALLED_MS = 1_000;

/** The size of a head that the parser does not accept, in bytes. */
const MAX_HEAD_BYTES = 65_536;
/** The time added to the limit of a head, as this process may have read it late, in milliseconds. */
const HEAD_MARGIN_MS = 1_000;

/** Options of {@link GuardedConnection}. */
export interface GuardedConnectionOptions {
  readonly clock: Clock;
  readonly memory: HostMemory;
}

/** One connection of a client. */
export class GuardedConnection {
  readonly #socket: Socket;
  readonly #clock: Clock;
  readonly #holding: Holding;
  readonly #openedAtMs: number;
  #openResponses = 0;
  #request: IncomingMessage | undefined;
  /** The bytes that had been received when the last response ended. */
  #settledBytes = 0;
  #settledAtMs = 0;
  #headSinceMs: number | undefined;
  #progress = "";
  #progressAtMs: number;

  /**
   * @param socket - The connection.
   * @param options - The clock and the account of bytes.
   */
  constructor(socket: Socket, { clock, memory }: GuardedConnectionOptions) {
    this.#socket = socket;
    this.#clock = clock;
    this.#openedAtMs = clock.getMonotonicMs();
    this.#progressAtMs = this.#openedAtMs;
    this.#holding = memory.openHolding("connection", () => this.close());
  }

  /**
   * Adds a request that is due a response.
   *
   * @param request - The request.
   * @param response - The response.
   */
  addRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#openResponses++;
    this.#headSinceMs = undefined;
    this.#request = request;
    this.#setProgress();
    // All bytes of a response are held from its end until they are sent.
    response.once("prefinish", () => {
      this.#setProgress();
      this.#updateBytes();
    });
    response.once("close", () => {
      this.#openResponses--;
      this.#settle();
    });
    // A body may go on after its response.
    request.once("close", () => this.#settle());
  }

  /**
   * Records whether bytes were received or sent since the last call.
   *
   * @param nowMs - The current time on the monotonic clock.
   */
  updateProgress(nowMs: number): void {
    const { bytesRead } = this.#socket;
    const progress = `${bytesRead} ${getUnsentBytes(this.#socket)}`;
    if (progress !== this.#progress) {
      this.#progress = progress;
      this.#setProgress();
    }
    if (this.#state === "head") {
      this.#headSinceMs ??= nowMs;
    }
    this.#updateBytes();
  }

  /**
   * Returns what this connection does.
   *
   * @param nowMs - The current time on the monotonic clock.
   */
  getStructure(nowMs: number): ConnectionStructure {
    const state = this.#state;
    switch (state) {
      case "silent":
        return { state, sinceMs: this.#openedAtMs };
      case "head":
        return { state, sinceMs: this.#headSinceMs ?? nowMs };
      case "idle":
        return { state, sinceMs: this.#settledAtMs };
      default:
        return nowMs - this.#progressAtMs >= STALLED_MS
          ? { state, sinceMs: this.#progressAtMs }
          : { state: "busy", sinceMs: nowMs };
    }
  }

  /**
   * Returns whether the client has had enough time for what it owes.
   *
   * @param nowMs - The current time on the monotonic clock.
   * @param limits - The times that clients have.
   */
  isOverdue(nowMs: number, limits: StallLimits): boolean {
    const { state, sinceMs } = this.getStructure(nowMs);
    const ageMs = nowMs - sinceMs;
    return state === "head"
      ? ageMs > limits.headerTimeoutMs + HEAD_MARGIN_MS
      : (state === "silent" || state === "stalled") &&
        ageMs > limits.idleTimeoutMs;
  }

  /** Closes the connection at once. */
  close(): void {
    // A response without a length that is cut off must not look complete.
    this.#openResponses > 0
      ? this.#socket.resetAndDestroy()
      : this.#socket.destroy();
  }

  /** Ends the account of its bytes. */
  release(): void {
    this.#holding.release();
  }

  /** The state; "stalled" stands for one that waits for its client. */
  get #state(): ConnectionState {
    const { bytesRead, writableLength } = this.#socket;
    if (writableLength > 0 || this.#request?.complete === false) {
      return "stalled";
    }
    if (this.#openResponses > 0) {
      return "busy";
    }
    if (bytesRead === 0) {
      return "silent";
    }
    return bytesRead > this.#settledBytes ? "head" : "idle";
  }

  #settle(): void {
    this.#settledBytes = this.#socket.bytesRead;
    this.#settledAtMs = this.#clock.getMonotonicMs();
    this.#updateBytes();
  }

  #setProgress(): void {
    this.#progressAtMs = this.#clock.getMonotonicMs();
    this.#holding.setProgress();
  }

  #updateBytes(): void {
    const { bytesRead, writableLength } = this.#socket;
    const headBytes = this.#state === "head"
      ? Math.min(MAX_HEAD_BYTES, bytesRead - this.#settledBytes)
      : 0;
    this.#holding.setBytes(headBytes + writableLength);
  }
}

/** Returns the number of bytes that the connection has not taken yet; it changes while a single large write goes on. */
function getUnsentBytes(socket: Socket): number {
  const { _handle: handle } = socket as unknown as {
    readonly _handle?: { readonly writeQueueSize?: number } | null;
  };
  return socket.writableLength + (handle?.writeQueueSize ?? 0);
}
