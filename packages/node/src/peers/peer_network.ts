/**
 * The interface through which the other parts of a node reach the other hosts:
 * membership, calls and gossip.
 * @module
 */
import type {
  FailureDomain,
  HostId,
  Incarnation,
  Region,
} from "@briarhill/common/ids/ids";

/** A member of the peer network. */
export interface Member {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** The address of its peer listener, such as "127.0.0.1:9080". */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly region: Region;
  readonly state: "alive" | "suspect" | "leaving" | "failed";
}

/** Handles a call or gossip from a peer; input and output are plain data. */
export type PeerHandler = (input: unknown, from: HostId) => Promise<unknown>;

/** Provides membership, calls and gossip among the hosts. */
export abstract class PeerNetwork {
  /** Returns the member record of this host. */
  abstract getLocalMember(): Member;

  /** Returns all known members, including this host. */
  abstract getMembers(): readonly Member[];

  /**
   * Registers the handler of a procedure or topic; call it before the node starts.
   *
   * @param procedure - The name of the procedure, such as "claims.open".
   * @param handler - The handler to run for each call.
   */
  abstract register(procedure: string, handler: PeerHandler): void;

  /**
   * Calls a procedure of a peer. Fails with a `PortError` whose outcome states
   * whether the call may have run on the peer.
   *
   * @param host - The peer to call.
   * @param call - The procedure, its input and the timeout.
   */
  abstract call(host: HostId, call: PeerCall): Promise<unknown>;

  /**
   * Adds a small payload to the next batch of gossip to the peers; a newer
   * payload of the same topic replaces it. A peer passes it to the handler that
   * is registered under the topic.
   *
   * @param topic - The topic, such as "shares".
   * @param payload - A small value of plain data.
   */
  abstract publish(topic: string, payload: unknown): void;

  /**
   * Registers a callback that runs when a member joins, leaves, fails or changes
   * state.
   *
   * @param callback - The callback to run.
   */
  abstract subscribe(callback: () => void): void;
}

/** A call of a peer's procedure. */
export interface PeerCall {
  readonly procedure: string;
  readonly input: unknown;
  readonly timeoutMs: number;
}
