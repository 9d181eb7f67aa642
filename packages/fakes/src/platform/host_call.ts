/**
 * One call of a client to a host, on a connection of its own.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { Buffer } from "node:buffer";
import { type IncomingHttpHeaders, request } from "node:http";

/** An answer of a host. */
export interface HostAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** What a call may carry. */
export interface HostCallOptions {
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** How long the call may take, in milliseconds; it is given up after that. */
  readonly timeoutMs?: number;
}

/**
 * Calls a host; a connection that breaks is an error.
 *
 * @example
 * ```ts
 * const answer = await callHost({ hostname: "127.0.0.1", port: 8080 }, {
 *   method: "GET",
 *   path: "/",
 * });
 * ```
 * @param address - The host.
 * @param call - Method, path, headers and body.
 */
export function callHost(
  address: HttpAddress,
  call: HostCallOptions & { readonly method: string; readonly path: string },
): Promise<HostAnswer> {
  const { method, path, headers = {}, body, timeoutMs = 30_000 } = call;
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: address.hostname,
      port: address.port,
      method,
      path,
      headers,
      agent: false,
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
