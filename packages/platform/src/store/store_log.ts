/**
 * The platform's store as the log that all hosts share.
 * @module
 */
import {
  AppendConflictError,
  InputError,
  TrimmedLogError,
} from "@briarhill/common/errors/errors";
import { createPortError } from "@briarhill/common/errors/port_fault";
import type { HttpAnswer } from "@briarhill/common/http/http_exchange";
import {
  type AppendReceipt,
  type GroupAssignment,
  type GroupMembership,
  type LogBatch,
  type LogPartition,
  type LogRecord,
  type NewLogRecord,
  SharedLog,
} from "@briarhill/common/log/shared_log";
import { Buffer } from "node:buffer";
import {
  LOG_APPEND_PATH,
  LOG_JOIN_PATH,
  LOG_LEAVE_PATH,
  LOG_NEWEST_PATH,
  LOG_OWNERS_PATH,
  LOG_READ_PATH,
} from "../names/paths.ts";
import { KEYED_PREFIX } from "../names/topics.ts";
import { decodeRead, encodeRecords } from "./log_frames.ts";
import type { StoreTransport } from "./store_transport.ts";

/** The longest wait for an answer, in milliseconds; above the store's slowest answers of some 250 ms. */
const CALL_TIMEOUT_MS = 1_200;

/** The platform's store as the log that all hosts share. */
export class StoreLog extends SharedLog {
  readonly #transport: StoreTransport;

  constructor(transport: StoreTransport) {
    super();
    this.#transport = transport;
  }

  override async append(
    place: LogPartition,
    records: readonly NewLogRecord[],
    atOffset?: number,
  ): Promise<AppendReceipt> {
    const condition = atOffset === undefined ? "" : `&at=${atOffset}`;
    const answer = await this.#call({
      method: "POST",
      path: `${LOG_APPEND_PATH}?${formatPlace(place)}${condition}`,
      body: encodeRecords(records, isKeyed(place)),
      mayRelay: atOffset === undefined,
    });
    if (answer.status === 412) {
      throw new AppendConflictError("the partition ends elsewhere", {
        props: {
          port: "store",
          operation: "append",
          fault: "rejected",
          outcome: "not-run",
          endOffset: getNumber(parseObject(answer), "endOffset"),
        },
      });
    }
    const receipt = parseObject(throwIfRefused(answer, "append"));
    return {
      offset: getNumber(receipt, "offset"),
      endOffset: getNumber(receipt, "endOffset"),
    };
  }

  override async read(
    place: LogPartition,
    fromOffset: number,
    waitMs: number,
  ): Promise<LogBatch> {
    const answer = await this.#call({
      method: "GET",
      path: `${LOG_READ_PATH}?${
        formatPlace(place)
      }&from=${fromOffset}&waitMs=${waitMs}`,
      waitMs,
      mayRelay: true,
    });
    if (answer.status === 410) {
      throw new TrimmedLogError("the records have been deleted", {
        props: {
          port: "store",
          operation: "read",
          fault: "rejected",
          outcome: "not-run",
          firstOffset: getNumber(parseObject(answer), "first"),
        },
      });
    }
    const { body } = throwIfRefused(answer, "read");
    return decodeRead(body, { fromOffset, isKeyed: isKeyed(place) });
  }

  override async readNewest(place: LogPartition): Promise<LogBatch> {
    const records: LogRecord[] = [];
    let nextOffset: number | undefined;
    let endOffset = 0;
    let after: string | undefined;
    for (let hasMore = true; hasMore;) {
      const from = after === undefined
        ? ""
        : `&after=${encodeURIComponent(after)}`;
      const answer = await this.#call({
        method: "GET",
        path: `${LOG_NEWEST_PATH}?${formatPlace(place)}${from}`,
        mayRelay: true,
      });
      const page = parseObject(throwIfRefused(answer, "newest"));
      const items = getList(page, "items").map(decodeItem);
      records.push(...items);
      endOffset = getNumber(page, "endOffset");
      nextOffset ??= endOffset;
      after = items.at(-1)?.key;
      hasMore = page["hasMore"] === true && after !== undefined;
    }
    records.sort((a, b) => a.offset - b.offset);
    return { records, nextOffset: nextOffset ?? 0, endOffset };
  }

  override async joinGroup(
    membership: GroupMembership,
  ): Promise<GroupAssignment> {
    const answer = await this.#call({
      method: "POST",
      path: LOG_JOIN_PATH,
      body: Buffer.from(JSON.stringify(membership)),
      mayRelay: true,
    });
    const assignment = parseObject(throwIfRefused(answer, "join"));
    return {
      generation: getNumber(assignment, "generation"),
      partitions: getList(assignment, "parts").map(decodePlace),
    };
  }

  override async leaveGroup(membership: GroupMembership): Promise<void> {
    const answer = await this.#call({
      method: "POST",
      path: LOG_LEAVE_PATH,
      body: Buffer.from(JSON.stringify(membership)),
      mayRelay: true,
    });
    throwIfRefused(answer, "leave");
  }

  override async listMembers(group: string): Promise<readonly string[]> {
    const answer = await this.#call({
      method: "GET",
      path: `${LOG_OWNERS_PATH}?group=${encodeURIComponent(group)}`,
      mayRelay: true,
    });
    const value: unknown = JSON.parse(
      throwIfRefused(answer, "owners").body.toString(),
    );
    const rows = Array.isArray(value)
      ? value
      : getList(value as Record<string, unknown>, "parts");
    const members = rows.map((row: unknown) =>
      Array.isArray(row) ? String(row[2]) : ""
    );
    return [...new Set(members)].filter((member) => member !== "");
  }

  #call(call: {
    readonly method: string;
    readonly path: string;
    readonly body?: Buffer;
    readonly waitMs?: number;
    readonly mayRelay: boolean;
  }): Promise<HttpAnswer> {
    const { waitMs = 0, ...rest } = call;
    return this.#transport.call({
      ...rest,
      timeoutMs: CALL_TIMEOUT_MS + waitMs,
    });
  }
}

function isKeyed({ topic }: LogPartition): boolean {
  return topic.startsWith(KEYED_PREFIX);
}

function formatPlace({ topic, partition }: LogPartition): string {
  return `topic=${encodeURIComponent(topic)}&part=${partition}`;
}

/** A refusal of any kind means that the store did nothing. */
function throwIfRefused(answer: HttpAnswer, operation: string): HttpAnswer {
  if (answer.status === 200) {
    return answer;
  }
  const isSafe = answer.status < 500 || answer.status === 503;
  throw createPortError(`store ${operation}: status ${answer.status}`, {
    port: "store",
    operation,
    fault: "rejected",
    outcome: isSafe ? "not-run" : "unknown",
  });
}

function parseObject({ body }: HttpAnswer): Record<string, unknown> {
  const value: unknown = JSON.parse(body.toString());
  if (typeof value !== "object" || value === null) {
    throw new InputError("an answer of the store is no object");
  }
  return value as Record<string, unknown>;
}

function getNumber(value: Record<string, unknown>, name: string): number {
  const found = value[name];
  if (typeof found !== "number") {
    throw new InputError(
      `"${name}" is ${JSON.stringify(found)}, expected a number`,
    );
  }
  return found;
}

function getList(
  value: Record<string, unknown>,
  name: string,
): readonly unknown[] {
  const found = value[name];
  if (!Array.isArray(found)) {
    throw new InputError(
      `"${name}" is ${JSON.stringify(found)}, expected a list`,
    );
  }
  return found;
}

function decodeItem(item: unknown): LogRecord {
  const { key, value, offset } = item as Record<string, unknown>;
  return {
    key: String(key),
    value: Buffer.from(String(value), "base64"),
    offset: Number(offset),
  };
}

function decodePlace(row: unknown): LogPartition {
  const [topic, partition] = row as readonly unknown[];
  return { topic: String(topic), partition: Number(partition) };
}
