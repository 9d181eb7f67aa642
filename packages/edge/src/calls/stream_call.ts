/**
 * Passes the answer of one endpoint on as it arrives. A stream may not be
 * repeated, so that another endpoint is tried only while none has run it.
 * @module
 */
import type { HttpHead } from "@briarhill/common/http/http_exchange";
import { PortError } from "@briarhill/common/errors/errors";
import { encodeReturnedHeaders } from "@briarhill/platform/ingress/request_head";
import type { ServerResponse } from "node:http";
import type { EndpointSender } from "./endpoint_sender.ts";

/** How a passed-on answer ended. */
export type StreamOutcome = "whole" | "cut" | "not-run" | "unknown";

/**
 * Sends a request to one endpoint and passes its answer on.
 *
 * @example
 * ```ts
 * declare const sender: EndpointSender;
 * declare const request: Parameters<EndpointSender["run"]>[0];
 * declare const response: import("node:http").ServerResponse;
 *
 * const outcome = await streamAnswer(response, { sender, request });
 * ```
 * @param response - Where to write.
 * @param call - The sender and the request.
 */
export async function streamAnswer(
  response: ServerResponse,
  call: {
    readonly sender: EndpointSender;
    readonly request: Parameters<EndpointSender["run"]>[0];
  },
): Promise<StreamOutcome> {
  try {
    return await call.sender.run(call.request, async ({ head, answer }) => {
      if (answer.isRefused) {
        head.stream.resume();
        return "not-run";
      }
      return await streamHead(response, head);
    });
  } catch (error) {
    return error instanceof PortError && error.outcome === "not-run"
      ? "not-run"
      : "unknown";
  }
}

function streamHead(
  response: ServerResponse,
  head: HttpHead,
): Promise<StreamOutcome> {
  response.writeHead(
    head.status,
    encodeReturnedHeaders(head.rawHeaders) as unknown as Record<string, string>,
  );
  response.flushHeaders();
  return new Promise((resolve) => {
    head.stream.on("data", (chunk) => {
      if (!response.write(chunk)) {
        head.stream.pause();
        response.once("drain", () => head.stream.resume());
      }
    });
    head.stream.on("close", () => {
      if (head.stream.complete) {
        response.end();
        resolve("whole");
        return;
      }
      // An answer that ends early must not look complete.
      response.destroy();
      resolve("cut");
    });
  });
}
