/**
 * The accepting end of a link. No message other than the handshake is handled
 * before the peer has authenticated.
 * @module
 */
import { AuthenticationError } from "@briarhill/common/errors/errors";
import type { WebSocket } from "ws";
import type {
  Handshake,
  PeerAuthenticator,
  PeerIdentity,
} from "./peer_authenticator.ts";

/** The kind of traffic that a link carries. */
export type LinkPurpose = "gossip" | "call";

/** The accepting end of a link; the peer's identity is set once its proof has been verified. */
export class AcceptedPeer {
  readonly #socket: WebSocket;
  readonly #authenticator: PeerAuthenticator;
  readonly #queue: unknown[] = [];
  #handshake: Handshake | undefined;
  #peer: PeerIdentity | undefined;
  #wake: () => void = () => {};

  constructor(socket: WebSocket, authenticator: PeerAuthenticator) {
    this.#socket = socket;
    this.#authenticator = authenticator;
  }

  /** Returns the peer's identity; throws an `AuthenticationError` if it has not authenticated. */
  getPeerOrThrow(): PeerIdentity {
    if (this.#peer === undefined) {
      throw new AuthenticationError(
        "a peer sent a request before it authenticated",
      );
    }
    return this.#peer;
  }

  /**
   * Handles the first handshake message, and returns this end's nonce and proof.
   *
   * @param dialler - The identity that the peer claims, and its nonce.
   * @param acceptor - The identity of this end.
   */
  handleHello(
    dialler: PeerIdentity & { readonly nonce: Uint8Array },
    acceptor: PeerIdentity,
  ): { readonly nonce: Uint8Array; readonly proof: Uint8Array } {
    const { host, incarnation } = dialler;
    const nonce = this.#authenticator.createNonce();
    this.#handshake = {
      dialler: { host, incarnation },
      acceptor,
      diallerNonce: dialler.nonce,
      acceptorNonce: nonce,
    };
    const proof = this.#authenticator.createProof("acceptor", this.#handshake);
    return { nonce, proof };
  }

  /**
   * Verifies the peer's proof and returns the peer's identity; throws an
   * `AuthenticationError` if the proof is invalid.
   *
   * @param bytes - The proof.
   */
  handleProof(bytes: Uint8Array): PeerIdentity {
    const handshake = this.#handshake;
    if (handshake === undefined) {
      throw new AuthenticationError(
        "a peer sent its proof before the hello message",
      );
    }
    const proof = { role: "dialler", bytes } as const;
    this.#authenticator.throwIfInvalidProof(proof, handshake);
    this.#peer = handshake.dialler;
    return handshake.dialler;
  }

  /**
   * Registers a callback that runs once the link is closed.
   *
   * @param callback - The callback to run.
   */
  subscribeClosed(callback: () => void): void {
    this.#socket.once("close", callback);
  }

  /**
   * Queues a message for the peer.
   *
   * @param message - Plain data.
   */
  sendPushMessage(message: unknown): void {
    this.#queue.push(message);
    this.#wake();
  }

  /**
   * Yields queued messages in order, and waits while the queue is empty.
   *
   * @param signal - Ends the stream.
   */
  async *streamPushMessages(signal: AbortSignal): AsyncGenerator<unknown> {
    signal.addEventListener("abort", () => this.#wake(), { once: true });
    while (!signal.aborted) {
      while (this.#queue.length > 0) {
        yield this.#queue.shift();
      }
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
        if (this.#queue.length > 0 || signal.aborted) {
          resolve();
        }
      });
    }
  }

  /** Closes the link at once, without a WebSocket close handshake. */
  close(): void {
    this.#socket.terminate();
  }
}
