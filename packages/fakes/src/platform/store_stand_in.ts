/**
 * A stand-in for the platform's store that speaks its protocol and injects faults
 * on request.
 * @module
 */
import { encodeRecords } from "@briarhill/platform/store/log_frames";
import {
  LOG_APPEND_PATH,
  LOG_JOIN_PATH,
  LOG_LEAVE_PATH,
  LOG_NEWEST_PATH,
  LOG_OWNERS_PATH,
  LOG_READ_PATH,
} from "@briarhill/platform/names/paths";
import { KEYED_PREFIX } from "@briarhill/platform/names/topics";
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { StoreGroup } from "./store_group.ts";
import {
  appendRecords,
  createJsonResponse,
  createNewestResponse,
  readRecords,
  type StoreResponse,
} from "./store_responses.ts";
import { readRequestBytes } from "./request_bytes.ts";
import { StorePartition } from "./store_partition.ts";

const PARTITIONS = 24;

/**
 * How the store handles calls: "well" responds, "busy" responds with 503, "silent"
 * never responds, and "lost" executes a POST but closes the connection without a
 * response.
 */
export type StoreBehavior = "well" | "busy" | "silent" | "lost";

/** A stand-in for the platform's store. */
export class StoreStandIn {
  readonly #partitions = new Map<string, StorePartition>();
  /** The topics that hosts read instead of others, by host and topic. */
  readonly #views = new Map<string, string>();
  readonly #groups = new Map<string, StoreGroup>();
  readonly #behaviors = new Map<string, StoreBehavior>();
  readonly #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  #calls = 0;
  readonly #snapshotTopics: string[] = [];

  /** The number of received calls. */
  get calls(): number {
    return this.#calls;
  }

  /**
   * Starts listening for hosts.
   *
   * @param hostname - The address to listen on.
   * @param port - The port to listen on.
   */
  start(hostname: string, port: number): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(port, hostname, () => resolve());
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Sets how the store handles the calls of one host, or the default for all hosts.
   *
   * @param behavior - How calls are handled.
   * @param ip - The host's address; omitted to set the default of hosts without a
   * behavior of their own.
   */
  setBehavior(behavior: StoreBehavior, ip = ""): void {
    this.#behaviors.set(ip, behavior);
  }

  /**
   * Serves another topic to one host instead of the one that it names.
   *
   * @param ip - The host's address.
   * @param topic - The topic that the host names.
   * @param view - The topic that it is served.
   */
  setView(ip: string, topic: string, view: string): void {
    this.#views.set(`${ip} ${topic}`, view);
  }

  /**
   * Appends a record to partition 0 of a keyed topic, as an operator, a trainer or an
   * endpoint does.
   *
   * @param topic - The topic of the record.
   * @param key - The key of the record.
   * @param value - The value, encoded as JSON; undefined deletes the key.
   */
  publish(topic: string, key: string, value: unknown): void {
    const text = value === undefined ? "" : JSON.stringify(value);
    const record = { key, value: Buffer.from(text) };
    this.getPartition(topic, 0).append(encodeRecords([record], true));
  }

  /**
   * Returns a partition, creating it on first use.
   *
   * @param topic - The topic of the partition.
   * @param part - The number of the partition.
   */
  getPartition(topic: string, part: number): StorePartition {
    const id = `${topic} ${part}`;
    const existing = this.#partitions.get(id);
    if (existing !== undefined) {
      return existing;
    }
    const partition = new StorePartition(topic.startsWith(KEYED_PREFIX));
    this.#partitions.set(id, partition);
    return partition;
  }

  /** Deletes the records of all topics, but retains the newest one of each key. */
  clearHistory(): void {
    this.#partitions.forEach((partition) => partition.clear());
  }

  /** Reassigns all partitions of all groups at once. */
  assignAllPartitions(): void {
    this.#groups.forEach((group) => group.assignAllPartitions());
  }

  /**
   * Returns the members of a group that hold partitions, with the number each holds.
   *
   * @param group - The name of the group.
   */
  listHolders(
    group: string,
  ): readonly { readonly member: string; readonly count: number }[] {
    const counts = new Map<string, number>();
    for (const [, , member] of this.#getGroup(group).listRows()) {
      counts.set(member, (counts.get(member) ?? 0) + 1);
    }
    return [...counts].map(([member, count]) => ({ member, count }));
  }

  /**
   * Returns how many snapshot reads (newest record of each key) of a topic were
   * received.
   *
   * @param topic - The topic to count.
   */
  countSnapshotReads(topic: string): number {
    return this.#snapshotTopics.filter((read) => read === topic).length;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#calls++;
    const body = await readRequestBytes(request);
    if (body === undefined) {
      return;
    }
    const ip = request.socket.remoteAddress ?? "";
    const behavior = this.#behaviors.get(ip) ?? this.#behaviors.get("") ??
      "well";
    if (behavior === "silent") {
      return;
    }
    if (behavior === "busy") {
      response.writeHead(503).end();
      return;
    }
    const url = new URL(request.url ?? "/", "http://store");
    const topic = url.searchParams.get("topic") ?? "";
    url.searchParams.set("topic", this.#views.get(`${ip} ${topic}`) ?? topic);
    const result = await this.#handleCall(url, body);
    if (behavior === "lost" && request.method === "POST") {
      response.destroy();
      return;
    }
    response.writeHead(result.status).end(result.body);
  }

  async #handleCall(url: URL, body: Buffer): Promise<StoreResponse> {
    const query = url.searchParams;
    const partition = () =>
      this.getPartition(query.get("topic") ?? "", Number(query.get("part")));
    switch (url.pathname) {
      case LOG_APPEND_PATH:
        return appendRecords(partition(), { query, body });
      case LOG_READ_PATH:
        return await readRecords(partition(), query);
      case LOG_NEWEST_PATH:
        this.#snapshotTopics.push(query.get("topic") ?? "");
        return createNewestResponse(partition());
      case LOG_JOIN_PATH:
        return this.#join(JSON.parse(body.toString()));
      case LOG_LEAVE_PATH: {
        const { group, member } = JSON.parse(body.toString());
        this.#getGroup(group).leave(member);
        return createJsonResponse({});
      }
      case LOG_OWNERS_PATH:
        return createJsonResponse({
          parts: this.#getGroup(query.get("group") ?? "").listRows(),
        });
      default:
        return { status: 404, body: Buffer.alloc(0) };
    }
  }

  #join(call: {
    readonly group: string;
    readonly member: string;
    readonly topics: readonly string[];
    readonly ttlMs: number;
  }): StoreResponse {
    return createJsonResponse(this.#getGroup(call.group).join(call));
  }

  #getGroup(name: string): StoreGroup {
    const group = this.#groups.get(name) ?? new StoreGroup(PARTITIONS);
    this.#groups.set(name, group);
    return group;
  }
}
