/**
 * A stand-in of the platform's store that speaks its protocol and misbehaves on demand.
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
  appendTo,
  createJson,
  createNewest,
  readFrom,
  type StoreAnswer,
} from "./store_answers.ts";
import { StorePartition } from "./store_partition.ts";

const PARTITIONS = 24;

/** What the store does with calls: "lost" appends and closes the connection without an answer. */
export type StoreMood = "well" | "busy" | "silent" | "lost";

/** A stand-in of the platform's store. */
export class StoreStandIn {
  readonly #partitions = new Map<string, StorePartition>();
  readonly #groups = new Map<string, StoreGroup>();
  readonly #moods = new Map<string, StoreMood>();
  readonly #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  #calls = 0;
  readonly #snapshotTopics: string[] = [];

  /** How many calls were received. */
  get calls(): number {
    return this.#calls;
  }

  /**
   * Listens for hosts.
   *
   * @param hostname - The address.
   * @param port - The port.
   */
  start(hostname: string, port: number): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(port, hostname, () => resolve());
    });
  }

  /** Stops listening. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Sets what the store does with the calls of one host, or of all others.
   *
   * @param mood - What it does.
   * @param ip - The host's address; left out for all that have no mood of their own.
   */
  setMood(mood: StoreMood, ip = ""): void {
    this.#moods.set(ip, mood);
  }

  /**
   * Appends a record as an operator, a trainer or an endpoint does.
   *
   * @param topic - The topic.
   * @param key - The key.
   * @param value - The value; undefined removes the key.
   */
  publish(topic: string, key: string, value: unknown): void {
    const text = value === undefined ? "" : JSON.stringify(value);
    const record = { key, value: Buffer.from(text) };
    this.getPartition(topic, 0).append(encodeRecords([record], true));
  }

  /**
   * Returns a partition, which is made on first use.
   *
   * @param topic - The topic.
   * @param part - The number.
   */
  getPartition(topic: string, part: number): StorePartition {
    const id = `${topic} ${part}`;
    const known = this.#partitions.get(id);
    if (known !== undefined) {
      return known;
    }
    const partition = new StorePartition(topic.startsWith(KEYED_PREFIX));
    this.#partitions.set(id, partition);
    return partition;
  }

  /** Deletes the history of all topics; the newest record of each key stays. */
  clearHistory(): void {
    this.#partitions.forEach((partition) => partition.clear());
  }

  /** Deals all partitions of all groups anew. */
  assignAnew(): void {
    this.#groups.forEach((group) => group.assignAnew());
  }

  /**
   * Returns the members of a group and how many partitions each one holds.
   *
   * @param group - The group.
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
   * Returns how often the newest records of a topic's partitions were read.
   *
   * @param topic - The topic.
   */
  countSnapshots(topic: string): number {
    return this.#snapshotTopics.filter((one) => one === topic).length;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#calls++;
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const ip = request.socket.remoteAddress ?? "";
    const mood = this.#moods.get(ip) ?? this.#moods.get("") ?? "well";
    if (mood === "silent") {
      return;
    }
    if (mood === "busy") {
      response.writeHead(503).end();
      return;
    }
    const url = new URL(request.url ?? "/", "http://store");
    const answer = await this.#handleCall(url, Buffer.concat(chunks));
    if (mood === "lost" && request.method === "POST") {
      response.destroy();
      return;
    }
    response.writeHead(answer.status).end(answer.body);
  }

  async #handleCall(url: URL, body: Buffer): Promise<StoreAnswer> {
    const query = url.searchParams;
    const partition = () =>
      this.getPartition(query.get("topic") ?? "", Number(query.get("part")));
    switch (url.pathname) {
      case LOG_APPEND_PATH:
        return appendTo(partition(), { query, body });
      case LOG_READ_PATH:
        return await readFrom(partition(), query);
      case LOG_NEWEST_PATH:
        this.#snapshotTopics.push(query.get("topic") ?? "");
        return createNewest(partition());
      case LOG_JOIN_PATH:
        return this.#join(JSON.parse(body.toString()));
      case LOG_LEAVE_PATH: {
        const { group, member } = JSON.parse(body.toString());
        this.#getGroup(group).leave(member);
        return createJson({});
      }
      case LOG_OWNERS_PATH:
        return createJson({
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
  }): StoreAnswer {
    return createJson(this.#getGroup(call.group).join(call));
  }

  #getGroup(name: string): StoreGroup {
    const group = this.#groups.get(name) ?? new StoreGroup(PARTITIONS);
    this.#groups.set(name, group);
    return group;
  }
}
