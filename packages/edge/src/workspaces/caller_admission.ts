/**
 * Lets in the requests of known callers and answers all others. From here on a
 * request carries the name of its caller's workspace; no key may go further.
 * @module
 */
import { encodeWorkspace } from "@briarhill/platform/ingress/caller_credentials";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import type { CallerExchange } from "../calls/caller_exchange.ts";
import { writeUnidentified } from "../calls/caller_reply.ts";
import type { CallerCheck } from "./caller_check.ts";

/** Lets in the requests of known callers. */
export class CallerAdmission {
  readonly #check: CallerCheck;
  readonly #getTable: () => RouteTable | undefined;

  /**
   * @param check - Finds the workspaces of callers.
   * @param getTable - Returns the configuration in force.
   */
  constructor(check: CallerCheck, getTable: () => RouteTable | undefined) {
    this.#check = check;
    this.#getTable = getTable;
  }

  /**
   * Returns a request with its caller's workspace, or undefined once it has been
   * answered or its caller has left.
   *
   * @param exchange - The request and the response to write.
   * @param isPublic - Returns whether the request needs no key by a configuration.
   */
  async admit(
    exchange: CallerExchange,
    isPublic: (table: RouteTable) => boolean,
  ): Promise<CallerExchange | undefined> {
    const { request, response, rawHeaders } = exchange;
    const verdict = await this.#check.checkCaller(exchange, isPublic);
    if (response.destroyed) {
      return undefined;
    }
    if (verdict.kind !== "accepted") {
      request.resume();
      writeUnidentified(response, verdict);
      return undefined;
    }
    const { workspace } = verdict;
    return this.#getTable()?.workspaces.isEmpty ?? true ? exchange : {
      ...exchange,
      rawHeaders: encodeWorkspace(rawHeaders, workspace),
      ...(workspace === undefined ? {} : { workspace }),
    };
  }
}
