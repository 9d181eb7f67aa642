import { AuthenticationError } from "@briarhill/common/errors/errors";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type Handshake,
  PeerAuthenticator,
  type ProofRole,
} from "../../src/peers/peer_authenticator.ts";

const HANDSHAKE: Handshake = {
  dialler: { host: "host-1", incarnation: 3 },
  acceptor: { host: "host-2", incarnation: 4 },
  diallerNonce: new Uint8Array(16).fill(1),
  acceptorNonce: new Uint8Array(16).fill(2),
};

describe("PeerAuthenticator.throwIfFalseProof", () => {
  const table: readonly (readonly [
    string,
    boolean,
    { readonly role?: ProofRole; readonly handshake?: Partial<Handshake> },
  ])[] = [
    ["accepts a proof of the same handshake", true, {}],
    ["rejects a proof reflected by the other end", false, { role: "acceptor" }],
    ["rejects a proof replayed with another nonce of the acceptor", false, {
      handshake: { acceptorNonce: new Uint8Array(16).fill(3) },
    }],
    ["rejects a proof replayed with another nonce of the dialler", false, {
      handshake: { diallerNonce: new Uint8Array(16).fill(3) },
    }],
    ["rejects a proof made for another host", false, {
      handshake: { acceptor: { host: "host-3", incarnation: 4 } },
    }],
    ["rejects a proof of another incarnation", false, {
      handshake: { dialler: { host: "host-1", incarnation: 5 } },
    }],
  ];
  for (const [name, passes, { role = "dialler", handshake }] of table) {
    it(name, () => {
      const authenticator = new PeerAuthenticator(["one key", "another key"]);
      const bytes = authenticator.createProof("dialler", HANDSHAKE);
      const check = () =>
        authenticator.throwIfInvalidProof({ role, bytes }, {
          ...HANDSHAKE,
          ...handshake,
        });
      if (passes) {
        check();
      } else {
        assert.throws(check, AuthenticationError);
      }
    });
  }
});
