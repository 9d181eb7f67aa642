/**
 * Ends the responses of an endpoint stand-in in the ways that hosts have to tell
 * apart.
 * @module
 */
import { listMalformedResponses } from "@briarhill/common/testing/malformed_responses";
import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

/**
 * How a response ends: "framed" by its length or last chunk, "unframed" with its
 * connection, "reset" by a reset of its connection after a part of a body without
 * a length; "malformed" if its bytes are no HTTP response.
 */
export type ResponseEnding = "framed" | "unframed" | "reset" | "malformed";

/** The body of malformed responses, which no endpoint sends otherwise. */
export const MALFORMED_BODY = "bytes of no endpoint";

/** Ends the responses of one endpoint. */
export class ResponseEndings {
  /** How responses end that begin from now on. */
  ending: ResponseEnding = "framed";
  readonly #unframed = new Set<ServerResponse>();
  #malformedCount = 0;

  /**
   * Prepares a response, before its head is written, for the way in which it ends.
   *
   * @param response - The response.
   */
  open(response: ServerResponse): ServerResponse {
    if (this.ending === "unframed" || this.ending === "reset") {
      response.useChunkedEncodingByDefault = false;
      response.setHeader("Connection", "close");
      this.#unframed.add(response);
      response.once("close", () => this.#unframed.delete(response));
    }
    return response;
  }

  /**
   * Writes one of the responses that are no HTTP, each in turn, and ends the
   * connection. Returns false if responses are to be sound.
   *
   * @param response - The response, whose head has not been written.
   * @param headers - The fields of the head.
   */
  writeMalformed(
    response: ServerResponse,
    headers: Readonly<Record<string, string>>,
  ): boolean {
    if (this.ending !== "malformed") {
      return false;
    }
    const responses = listMalformedResponses({
      headers: Object.entries(headers).map(([name, value]) =>
        `${name}: ${value}`
      ),
      body: MALFORMED_BODY,
    });
    const next = responses[this.#malformedCount++ % responses.length];
    response.socket?.end(next?.text ?? "", "latin1");
    return true;
  }

  /**
   * Writes the body of a response, or resets its connection after the first half.
   *
   * @param response - The response, whose head has been written.
   * @param body - The whole body.
   */
  finish(response: ServerResponse, body: Buffer): void {
    this.isReset(response)
      ? this.abort(response, body.subarray(0, body.length / 2))
      : response.end(body);
  }

  /**
   * Returns whether a response ends with a reset.
   *
   * @param response - The response.
   */
  isReset(response: ServerResponse): boolean {
    return this.ending === "reset" && this.#unframed.has(response);
  }

  /**
   * Resets the connection of a response together with its last bytes.
   *
   * @param response - The response.
   * @param part - The last bytes.
   */
  abort(response: ServerResponse, part: Buffer | string): void {
    response.write(part, () => response.socket?.resetAndDestroy());
  }

  /**
   * Closes a response before its end, after some last bytes. A plain close would be
   * the end of a response without a length.
   *
   * @param response - The response.
   * @param part - The last bytes.
   */
  closeEarly(response: ServerResponse, part: string): void {
    if (this.#unframed.has(response)) {
      this.abort(response, part);
    } else {
      response.write(part);
      response.destroy();
    }
  }

  /** Resets the connections of responses whose plain end would look complete. */
  abortAll(): void {
    this.#unframed.forEach(({ socket }) => socket?.resetAndDestroy());
  }
}
