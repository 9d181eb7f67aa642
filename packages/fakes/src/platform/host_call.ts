/**
 * One HTTP call of a client to a host. Each call opens a connection of its own, so
 * that a fault of one connection affects one call only, unless the client keeps its
 * connections open.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { Buffer } from "node:buffer";
import { type Agent, type IncomingHttpHeaders, request } from "node:http";

/** The response of a host. */
export interface HostResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Options of {@link callHost}. */
export interface HostCallOptions {
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** The timeout of the call in milliseconds; the call is aborted after it. */
  readonly timeoutMs?: number;
  /** Keeps the connections of a client that uses them again. */
  readonly agent?: Agent;
}

/**
 * Calls a host and returns its complete response. Rejects if the connection
 * breaks before the response is complete.
 *
 * @example
 * ```ts
 * const response = await callHost({ hostname: "127.0.0.1", port: 8080 }, {
 *   method: "GET",
 *   path: "/",
 * });
 * ```
 * @param address - The address of the host.
 * @param call - Method, path, headers and body.
 */
export function callHost(
  address: HttpAddress,
  call: HostCallOptions & { readonly method: string; readonly path: string },
): Promise<HostResponse> {
  const { method, path, headers = {}, body, timeoutMs = 30_000 } = call;
  const { agent = false } = call;
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: address.hostname,
      port: address.port,
      method,
      path,
      headers,
      agent,
      signal: AbortSignal.timeout(timeoutMs),
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("close", () => {
        if (!response.complete) {
          reject(response.errored);
          return;
        }
        const { statusCode = 0, headers } = response;
        resolve({ status: statusCode, headers, body: Buffer.concat(chunks) });
      });
      response.on("error", reject);
    });
    outgoing.on("error", reject);
    outgoing.end(body);
  });
}
