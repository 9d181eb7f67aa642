/**
 * A plain service over HTTP.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { z } from "zod";
import {
  type HttpCall,
  HttpClient,
  type HttpReply,
} from "../http/http_client.ts";
import type { HttpSettings } from "../http/http_settings.ts";
import { createRejection } from "../http/rejection.ts";
import {
  Service,
  type ServiceLoad,
  type ServiceRequest,
  type ServiceResponse,
} from "./service.ts";

const PORT = "service";
const REFUSING_STATUSES: readonly number[] = [429, 503];
const METHODS: readonly string[] = [
  "GET",
  "POST",
  "PUT",
  "PATCH",
  "DELETE",
  "HEAD",
];
const SERVICE_LOAD = z.object({
  running: z.number().int().min(0),
  slots: z.number().int().min(0),
  leaving: z.boolean(),
});

/** A plain service over HTTP; its load report is `GET /load`. */
export class HttpService extends Service {
  readonly #client: HttpClient;

  constructor(address: string, settings?: Partial<HttpSettings>) {
    super();
    this.#client = new HttpClient(PORT, address, settings);
  }

  override async call(
    request: ServiceRequest,
    signal?: AbortSignal,
  ): Promise<ServiceResponse> {
    const call: HttpCall = {
      operation: "call",
      method: toMethod(request.method),
      path: request.path,
      headers: request.headers,
      signal,
      ...(request.body === undefined ? {} : { body: request.body }),
    };
    const reply = await this.#client.send(call);
    return REFUSING_STATUSES.includes(reply.status)
      ? await this.#toAnswerOrThrow(call, reply)
      : reply;
  }

  override getLoad(): Promise<ServiceLoad> {
    return this.#client.fetchJson({
      operation: "getLoad",
      method: "GET",
      path: "/load",
    }, SERVICE_LOAD);
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#client.close();
  }

  /** An answer that does not itself say "not run" is the caller's to read. */
  async #toAnswerOrThrow(
    call: HttpCall,
    reply: HttpReply,
  ): Promise<ServiceResponse> {
    const text = await this.#client.readText(reply, call.operation);
    const rejection = createRejection({ port: PORT, call, reply, text });
    if (rejection.outcome === "not-run") {
      throw rejection;
    }
    return { ...reply, body: readOnce(Buffer.from(text, "utf8")) };
  }
}

async function* readOnce(bytes: Uint8Array): AsyncIterable<Uint8Array> {
  yield bytes;
}

function toMethod(method: string): HttpCall["method"] {
  const upper = method.toUpperCase();
  if (!METHODS.includes(upper)) {
    throw new PortError(`method "${method}" is none of ${METHODS.join(", ")}`, {
      props: {
        port: PORT,
        operation: "call",
        fault: "rejected",
        outcome: "not-run",
      },
    });
  }
  return upper as HttpCall["method"];
}
