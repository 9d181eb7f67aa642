/**
 * Implements the port to a plain service over HTTP. A response must be returned
 * to the caller unless its body reports that the call did not run.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { z } from "zod";
import {
  type HttpCall,
  HttpClient,
  type HttpResponse,
} from "../http/http_client.ts";
import type { HttpSettings } from "../http/http_settings.ts";
import { createRejectionError } from "../http/rejection.ts";
import {
  Service,
  type ServiceLoad,
  type ServiceRequest,
  type ServiceResponse,
} from "./service.ts";

const PORT = "service";
const REJECTION_STATUSES: readonly number[] = [429, 503];
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

/** Calls a plain service over HTTP; reads its load report with `GET /load`. */
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
    const response = await this.#client.send(call);
    return REJECTION_STATUSES.includes(response.status)
      ? await this.#toResponseOrThrow(call, response)
      : response;
  }

  override getLoad(): Promise<ServiceLoad> {
    return this.#client.fetchJson({
      operation: "getLoad",
      method: "GET",
      path: "/load",
    }, SERVICE_LOAD);
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#client.close();
  }

  /**
   * Returns a 429 or 503 response to the caller, unless its body reports the
   * outcome "not-run".
   */
  async #toResponseOrThrow(
    call: HttpCall,
    response: HttpResponse,
  ): Promise<ServiceResponse> {
    const text = await this.#client.readText(response, call.operation);
    const rejection = createRejectionError({
      port: PORT,
      call,
      response,
      text,
    });
    if (rejection.outcome === "not-run") {
      throw rejection;
    }
    return { ...response, body: streamBytes(Buffer.from(text, "utf8")) };
  }
}

async function* streamBytes(bytes: Uint8Array): AsyncIterable<Uint8Array> {
  yield bytes;
}

function toMethod(method: string): HttpCall["method"] {
  const upperCased = method.toUpperCase();
  if (!METHODS.includes(upperCased)) {
    throw new PortError(
      `method "${method}" is not one of ${METHODS.join(", ")}`,
      {
        props: {
          port: PORT,
          operation: "call",
          fault: "rejected",
          outcome: "not-run",
        },
      },
    );
  }
  return upperCased as HttpCall["method"];
}
