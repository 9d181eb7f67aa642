/**
 * Implements the shared log on the platform's store. A failed call must report
 * "not-run" only if the store certainly did nothing.
 * @module
 */
import {
  AppendConflictError,
  TrimmedLogError,
} from "@briarhill/common/errors/errors";
import { createPortError } from "@briarhill/common/errors/port_error";
import type { HttpResponse } from "@briarhill/common/http/http_exchange";
import {
  type AppendReceipt,
  type GroupAssignment,
  type GroupMembership,
  type LogBatch,
  type LogPartition,
  type LogRecord,
  type NewLogRecord,
  type PartitionHolder,
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
import { FieldReader } from "../records/field_reader.ts";
import { decodeRead, encodeRecords } from "./log_frames.ts";
import type { StoreTransport } from "./store_transport.ts";

/**
 * Timeout of a call, in milliseconds; above the slowest responses of the
 * store, of about 250 ms.
 */
const CALL_TIMEOUT_MS = 1_200;

/** The shared log of all hosts, held in the platform's store. */
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
    const response = await this.#call({
      method: "POST",
      path: `${LOG_APPEND_PATH}?${formatPartition(place)}${condition}`,
      body: encodeRecords(records, isKeyed(place)),
      mayRelay: atOffset === undefined,
    });
    if (response.status === 412) {
      throw new AppendConflictError(
        "append rejected: the partition does not end at the expected offset",
        {
          props: {
            port: "store",
            operation: "append",
            fault: "rejected",
            outcome: "not-run",
            endOffset: parseResponse(response).getInteger("endOffset"),
          },
        },
      );
    }
    const receipt = parseResponse(throwIfRejected(response, "append"));
    return {
      offset: receipt.getInteger("offset"),
      endOffset: receipt.getInteger("endOffset"),
    };
  }

  override async read(
    place: LogPartition,
    fromOffset: number,
    waitMs: number,
  ): Promise<LogBatch> {
    const response = await this.#call({
      method: "GET",
      path: `${LOG_READ_PATH}?${
        formatPartition(place)
      }&from=${fromOffset}&waitMs=${waitMs}`,
      waitMs,
      mayRelay: true,
    });
    if (response.status === 410) {
      throw new TrimmedLogError(
        "read rejected: the requested records have been deleted",
        {
          props: {
            port: "store",
            operation: "read",
            fault: "rejected",
            outcome: "not-run",
            firstOffset: parseResponse(response).getInteger("first"),
          },
        },
      );
    }
    const { body } = throwIfRejected(response, "read");
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
      const response = await this.#call({
        method: "GET",
        path: `${LOG_NEWEST_PATH}?${formatPartition(place)}${from}`,
        mayRelay: true,
      });
      const page = parseResponse(throwIfRejected(response, "newest"));
      const items = page.listObjects("items").map(decodeItem);
      records.push(...items);
      endOffset = page.getInteger("endOffset");
      nextOffset ??= endOffset;
      after = items.at(-1)?.key;
      hasMore = page.isTrue("hasMore") && after !== undefined;
    }
    records.sort((a, b) => a.offset - b.offset);
    return { records, nextOffset: nextOffset ?? 0, endOffset };
  }

  override async joinGroup(
    membership: GroupMembership,
  ): Promise<GroupAssignment> {
    const response = await this.#call({
      method: "POST",
      path: LOG_JOIN_PATH,
      body: Buffer.from(JSON.stringify(membership)),
      mayRelay: true,
    });
    const assignment = parseResponse(throwIfRejected(response, "join"));
    return {
      generation: assignment.getInteger("generation"),
      partitions: assignment.listRows("parts").map(([topic, partition]) => ({
        topic: String(topic),
        partition: Number(partition),
      })),
    };
  }

  override async leaveGroup(membership: GroupMembership): Promise<void> {
    const response = await this.#call({
      method: "POST",
      path: LOG_LEAVE_PATH,
      body: Buffer.from(JSON.stringify(membership)),
      mayRelay: true,
    });
    throwIfRejected(response, "leave");
  }

  override async listHolders(
    group: string,
  ): Promise<readonly PartitionHolder[]> {
    const response = await this.#call({
      method: "GET",
      path: `${LOG_OWNERS_PATH}?group=${encodeURIComponent(group)}`,
      mayRelay: true,
    });
    // A row consists of topic, partition, member and offset.
    return parseResponse(throwIfRejected(response, "owners"))
      .listRows("parts")
      .map(([topic, partition, member]) => ({
        partition: { topic: String(topic), partition: Number(partition) },
        member: String(member ?? ""),
      }))
      .filter(({ member }) => member !== "");
  }

  #call(call: {
    readonly method: string;
    readonly path: string;
    readonly body?: Buffer;
    readonly waitMs?: number;
    readonly mayRelay: boolean;
  }): Promise<HttpResponse> {
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

function formatPartition({ topic, partition }: LogPartition): string {
  return `topic=${encodeURIComponent(topic)}&part=${partition}`;
}

/**
 * A status below 500 or of 503 means that the store did nothing; after any
 * other status the outcome is unknown.
 */
function throwIfRejected(
  response: HttpResponse,
  operation: string,
): HttpResponse {
  if (response.status === 200) {
    return response;
  }
  const isNotRun = response.status < 500 || response.status === 503;
  throw createPortError(
    `store ${operation} failed with status ${response.status}`,
    {
      port: "store",
      operation,
      fault: "rejected",
      outcome: isNotRun ? "not-run" : "unknown",
    },
  );
}

function parseResponse({ body }: HttpResponse): FieldReader {
  return FieldReader.parse("the store response", body);
}

function decodeItem(item: FieldReader): LogRecord {
  return {
    key: item.getText("key"),
    value: Buffer.from(item.getText("value", ""), "base64"),
    offset: item.getInteger("offset"),
  };
}
