/**
 * Messages that hosts exchange about the membership, and the commands that the
 * membership returns to its node.
 * @module
 */
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";
import type { GossipItem } from "./gossip_items.ts";
import type { MemberRecord } from "./member_record.ts";

/** A message on a link. */
export interface MembershipMessage {
  /** The sender's hash over the records of all hosts that have not failed. */
  readonly digest: number;
  /** Whether `records` is the sender's complete table. */
  readonly whole: boolean;
  readonly records: readonly MemberRecord[];
  readonly items: readonly GossipItem[];
}

/** Identifies a link; unique during the life of the process. */
export type LinkId = number;

/** An open link whose two ends are authenticated. */
export interface OpenedLink {
  readonly link: LinkId;
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly role: "dialled" | "accepted";
}

/** An action that the node has to execute. */
export type MembershipCommand =
  | { readonly kind: "dial"; readonly address: string }
  | { readonly kind: "close"; readonly link: LinkId }
  | {
    readonly kind: "send";
    readonly link: LinkId;
    readonly message: MembershipMessage;
  }
  | { readonly kind: "deliver"; readonly item: GossipItem }
  | { readonly kind: "change" }
  /** A later process of this host has joined; this process has to stop. */
  | { readonly kind: "superseded" };
