// A small stand-in for the platform's store: a log with topics, keyed topics and groups.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const MAX_STORED_BYTES = 400_000_000;
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_READ_BYTES = 1_048_576;

export const LIMITS = {
  parts: 24,
  recordBytes: 262_144,
  requestBytes: 2_097_152,
  ttlMinMs: 1_000,
};

class Partition {
  frames = [];
  first = 0;
  newest = new Map();
  waiters = [];

  get end() {
    return this.first + this.frames.length;
  }
}

class Group {
  members = new Map();
  holders = new Map();
  generation = 0;
  topics = [];

  prune() {
    const now = Date.now();
    for (const [name, { atMs, ttlMs }] of this.members) {
      if (now - atMs >= ttlMs) {
        this.members.delete(name);
        this.generation++;
      }
    }
  }

  // A partition stays with its holder until that member calls, leaves or is silent for its TTL.
  assign(caller) {
    const names = [...this.members.keys()].sort();
    for (let part = 0; part < LIMITS.parts; part++) {
      const holder = this.holders.get(part);
      const isKept = holder !== undefined && holder !== caller &&
        this.members.has(holder);
      if (!isKept) {
        this.holders.set(part, names[part % Math.max(1, names.length)]);
      }
    }
  }

  join({ member, topics, ttlMs }) {
    this.prune();
    this.topics = topics;
    if (!this.members.has(member)) {
      this.generation++;
    }
    this.members.set(member, { atMs: Date.now(), ttlMs });
    this.assign(member);
    const parts = this.rows().filter((row) => row[2] === member)
      .map(([topic, part]) => [topic, part, 0]);
    return { generation: this.generation, parts };
  }

  leave(member) {
    if (this.members.delete(member)) {
      this.generation++;
      this.assign(member);
    }
  }

  rows() {
    return this.topics.flatMap((topic) =>
      [...this.holders].filter(([, member]) => member !== undefined)
        .map(([part, member]) => [topic, part, member, 0])
    );
  }
}

export class Store {
  delayMs = 4;
  stored = 0;
  calls = 0;
  sockets = new Set();
  // Connections that stay open and carry nothing any more.
  silent = new WeakSet();
  #partitions = new Map();
  #groups = new Map();
  #server = createServer((request, response) =>
    this.#handle(request, response).catch(() => response.destroy())
  );

  start(ip, port) {
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.sockets.delete(socket));
    });
    return new Promise((resolve) => this.#server.listen(port, ip, resolve));
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  // All open connections fall silent for good; new ones work.
  silenceOpenConnections() {
    this.sockets.forEach((socket) => this.silent.add(socket));
    return this.sockets.size;
  }

  resetOpenConnections() {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  // What has been stored goes, but for the newest record of each key.
  dropHistory() {
    for (const partition of this.#partitions.values()) {
      partition.first = partition.end;
      partition.frames = [];
    }
  }

  partition(topic, part) {
    const id = `${topic} ${part}`;
    if (!this.#partitions.has(id)) {
      this.#partitions.set(id, new Partition());
    }
    return this.#partitions.get(id);
  }

  // Publishes a record as the operator, a trainer or a server does.
  publish(topic, key, value) {
    const content = Buffer.from(
      value === undefined ? "" : JSON.stringify(value),
    );
    const head = Buffer.alloc(5);
    const name = Buffer.from(key);
    head.writeUInt32BE(1 + name.length + content.length);
    head[4] = name.length;
    this.#append(
      topic,
      this.partition(topic, 0),
      Buffer.concat([head, name, content]),
    );
  }

  #append(topic, partition, body) {
    const offset = partition.end;
    for (let at = 0; at + 4 <= body.length;) {
      const end = at + 4 + body.readUInt32BE(at);
      const frame = body.subarray(at, end);
      if (topic.startsWith("keyed.")) {
        const keyEnd = 5 + frame[4];
        const key = frame.toString("utf8", 5, keyEnd);
        const value = frame.subarray(keyEnd);
        value.length === 0
          ? partition.newest.delete(key)
          : partition.newest.set(key, { key, value, offset: partition.end });
      }
      partition.frames.push(frame);
      this.stored += frame.length;
      at = end;
    }
    const waiters = partition.waiters;
    partition.waiters = [];
    waiters.forEach((wake) => wake());
    return offset;
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    if (this.silent.has(request.socket)) {
      return;
    }
    this.calls++;
    const url = new URL(request.url, "http://store");
    const answer = await this.#call(url, body);
    await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    if (!this.silent.has(request.socket)) {
      const content = Buffer.isBuffer(answer.body)
        ? answer.body
        : Buffer.from(JSON.stringify(answer.body));
      response.writeHead(answer.status, {
        "Content-Type": "application/json",
        "Content-Length": content.length,
      }).end(content);
    }
  }

  async #call({ pathname, searchParams: query }, body) {
    const topic = query.get("topic") ?? "";
    const partition = () => this.partition(topic, Number(query.get("part")));
    switch (pathname) {
      case "/briarhill/log-append":
        return this.#appendCall(topic, partition(), query, body);
      case "/briarhill/log-read":
        return await this.#readCall(partition(), query);
      case "/briarhill/log-newest":
        return this.#newestCall(partition(), query.get("after"));
      case "/briarhill/log-join": {
        const call = JSON.parse(body.toString());
        return { status: 200, body: this.#group(call.group).join(call) };
      }
      case "/briarhill/log-leave": {
        const { group, member } = JSON.parse(body.toString());
        this.#group(group).leave(member);
        return { status: 200, body: {} };
      }
      case "/briarhill/log-owners": {
        const group = this.#group(query.get("group") ?? "");
        group.prune();
        return { status: 200, body: { parts: group.rows() } };
      }
      default:
        return { status: 404, body: {} };
    }
  }

  #group(name) {
    if (!this.#groups.has(name)) {
      this.#groups.set(name, new Group());
    }
    return this.#groups.get(name);
  }

  #appendCall(topic, partition, query, body) {
    if (body.length > LIMITS.requestBytes) {
      return { status: 413, body: {} };
    }
    for (let at = 0; at + 4 <= body.length;) {
      const length = body.readUInt32BE(at);
      if (length > LIMITS.recordBytes || at + 4 + length > body.length) {
        return { status: 400, body: {} };
      }
      at += 4 + length;
    }
    if (this.stored + body.length > MAX_STORED_BYTES) {
      return { status: 507, body: {} };
    }
    const at = query.get("at");
    if (at !== null && Number(at) !== partition.end) {
      return { status: 412, body: { endOffset: partition.end } };
    }
    const offset = this.#append(topic, partition, body);
    return { status: 200, body: { offset, endOffset: partition.end } };
  }

  async #readCall(partition, query) {
    const from = Number(query.get("from"));
    if (from < partition.first) {
      return { status: 410, body: { first: partition.first } };
    }
    if (from >= partition.end) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Number(query.get("waitMs") ?? 0));
        partition.waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.end), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    const frames = [];
    let bytes = 0;
    for (
      const frame of partition.frames.slice(Math.max(0, from - partition.first))
    ) {
      bytes += frame.length;
      if (frames.length > 0 && bytes > MAX_READ_BYTES) {
        break;
      }
      frames.push(frame);
    }
    return { status: 200, body: Buffer.concat([head, ...frames]) };
  }

  #newestCall(partition, after) {
    const records = [...partition.newest.values()]
      .filter(({ key }) => after === null || key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const { key, value, offset } of records) {
      bytes += value.length;
      if (
        items.length >= MAX_PAGE_ITEMS ||
        (items.length > 0 && bytes > MAX_PAGE_BYTES)
      ) {
        break;
      }
      items.push({ key, value: value.toString("base64"), offset });
    }
    return {
      status: 200,
      body: {
        items,
        hasMore: items.length < records.length,
        endOffset: partition.end,
      },
    };
  }
}
