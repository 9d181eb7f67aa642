/**
 * Ends the responses of an endpoint stand-in in the ways that hosts have to tell
 * apart.
 * @module
 */
import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

/**
 * How a response ends: "framed" by its length or last chunk, "unframed" with its
 * connection, "reset" by a reset of its connection after a part of a body without
 * a length.
 */
export type ResponseEnding = "framed" | "unframed" | "reset";

/** Ends the responses of one endpoint. */
export class ResponseEndings {
  /** How responses end that begin from now on. */
  ending: ResponseEnding = "framed";
  readonly #unframed = new Set<ServerResponse>();

  /**
   * Prepares a response, before its head is written, for the way in which it ends.
   *
   * @param response - The response.
   */
  open(response: ServerResponse): ServerResponse {
    if (this.ending !== "framed") {
      response.useChunkedEncodingByDefault = false;
      response.setHeader("Connection", "close");
      this.#unframed.add(response);
      response.once("close", () => this.#unframed.delete(response));
    }
    return response;
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

  /** Resets the connections of responses whose plain end would look complete. */
  abortAll(): void {
    this.#unframed.forEach(({ socket }) => socket?.resetAndDestroy());
  }
}
