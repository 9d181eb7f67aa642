/**
 * Mutual authentication of two hosts by a shared key. Each end proves that it
 * knows the key by an HMAC over its role, both identities and both nonces, so
 * that a proof cannot be replayed on another link or reflected.
 * @module
 */
import { AuthenticationError } from "@briarhill/common/errors/errors";
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";
import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const NONCE_BYTES = 16;

/** The identity that one end of a link claims. */
export interface PeerIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** The identities and nonces of both ends of a link. */
export interface Handshake {
  readonly dialler: PeerIdentity;
  readonly acceptor: PeerIdentity;
  readonly diallerNonce: Uint8Array;
  readonly acceptorNonce: Uint8Array;
}

/** The end of a link that creates a proof. */
export type ProofRole = "dialler" | "acceptor";

/** Creates and verifies proofs that a host knows a shared key. */
export class PeerAuthenticator {
  readonly #keys: readonly string[];

  /** Creates an authenticator that signs with the first key and accepts proofs made with any key. */
  constructor(keys: readonly string[]) {
    this.#keys = keys;
  }

  /** Returns a new random nonce. */
  createNonce(): Uint8Array {
    return new Uint8Array(randomBytes(NONCE_BYTES));
  }

  /**
   * Creates the proof of one end.
   *
   * @param role - The end that creates the proof.
   * @param handshake - The identities and nonces of both ends.
   */
  createProof(role: ProofRole, handshake: Handshake): Uint8Array {
    return new Uint8Array(computeProof(this.#keys[0] ?? "", role, handshake));
  }

  /**
   * Throws an `AuthenticationError` unless a proof was created with one of the keys.
   *
   * @param proof - The proof and the end that created it.
   * @param handshake - The identities and nonces of both ends.
   */
  throwIfInvalidProof(
    proof: { readonly role: ProofRole; readonly bytes: Uint8Array },
    handshake: Handshake,
  ): void {
    const isKnown = this.#keys.some((key) => {
      const expected = computeProof(key, proof.role, handshake);
      return expected.length === proof.bytes.length &&
        timingSafeEqual(expected, proof.bytes);
    });
    if (!isKnown) {
      const { host } = handshake[proof.role];
      throw new AuthenticationError(
        `the proof of peer "${host}" matches none of the configured keys`,
      );
    }
  }
}

function computeProof(
  key: string,
  role: ProofRole,
  handshake: Handshake,
): Buffer {
  const { dialler, acceptor, diallerNonce, acceptorNonce } = handshake;
  const identities = [role, dialler, acceptor];
  return createHmac("sha256", key)
    .update(JSON.stringify(identities))
    .update(diallerNonce)
    .update(acceptorNonce)
    .digest();
}
