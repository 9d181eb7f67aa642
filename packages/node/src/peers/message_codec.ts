/**
 * Encodes membership messages as arrays in place of objects with named fields,
 * which keeps gossip small on the wire.
 * @module
 */
import type { GossipItem } from "@briarhill/control/membership/gossip_items";
import type {
  MemberRecord,
  MemberStatus,
} from "@briarhill/control/membership/member_record";
import type { MembershipMessage } from "@briarhill/control/membership/membership_message";
import { z } from "zod";
import { parseMessage } from "./peer_message.ts";

const STATUSES: readonly MemberStatus[] = ["alive", "suspect", "failed"];
const LEAVING_FLAG = 4;

const RECORD = z.tuple([
  z.string(),
  z.number().int(),
  z.number().int(),
  z.number().int().min(0).max(LEAVING_FLAG * 2 - 1)
    .refine(
      (status) => status % LEAVING_FLAG < STATUSES.length,
      "unknown member status",
    ),
  z.string(),
  z.string(),
  z.string(),
]);

const ITEM = z.tuple([
  z.string(),
  z.string(),
  z.number().int(),
  z.number().int(),
  z.unknown(),
]);

const DIGEST = z.number().int();

const MESSAGE = z.tuple([
  DIGEST,
  z.boolean(),
  z.array(RECORD),
  z.array(ITEM),
]);

/**
 * Encodes a message into plain arrays.
 *
 * @example
 * ```ts
 * const arrays = encodeMessage(message);
 * ```
 * @param message - The message to encode.
 */
export function encodeMessage(message: MembershipMessage): unknown {
  const { digest, whole, records, items } = message;
  if (!whole && records.length === 0 && items.length === 0) {
    return digest;
  }
  return [digest, whole, records.map(encodeRecord), items.map(encodeItem)];
}

/**
 * Decodes a message; throws an `InputError` if it does not match the schema.
 *
 * @example
 * ```ts
 * const message = decodeMessage(arrays);
 * ```
 * @param arrays - The received value.
 */
export function decodeMessage(arrays: unknown): MembershipMessage {
  if (typeof arrays === "number") {
    const digest = parseMessage(arrays, DIGEST);
    return { digest, whole: false, records: [], items: [] };
  }
  const [digest, whole, records, items] = parseMessage(arrays, MESSAGE);
  return {
    digest,
    whole,
    records: records.map(decodeRecord),
    items: items.map(decodeItem),
  };
}

function encodeRecord(record: MemberRecord): z.input<typeof RECORD> {
  const status = STATUSES.indexOf(record.status) +
    (record.leaving ? LEAVING_FLAG : 0);
  return [
    record.host,
    record.incarnation,
    record.refutation,
    status,
    record.address,
    record.failureDomain,
    record.region,
  ];
}

function decodeRecord(array: z.output<typeof RECORD>): MemberRecord {
  const [host, incarnation, refutation, status, address, domain, region] =
    array;
  return {
    host,
    incarnation,
    refutation,
    status: STATUSES[status % LEAVING_FLAG] ?? "alive",
    leaving: status >= LEAVING_FLAG,
    address,
    failureDomain: domain,
    region,
  };
}

function encodeItem(item: GossipItem): z.input<typeof ITEM> {
  const { topic, host, incarnation, sequence, payload } = item;
  return [topic, host, incarnation, sequence, payload];
}

function decodeItem(array: z.output<typeof ITEM>): GossipItem {
  const [topic, host, incarnation, sequence, payload] = array;
  return { topic, host, incarnation, sequence, payload };
}
