/**
 * Grants permits for the services whose shard this host owns, to all hosts.
 * Exactly one host grants the permits of a service; while it can't confirm that
 * it still owns the shard, another host may do so as well, and it grants half.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import { InputError } from "@briarhill/common/errors/errors";
import { readBody } from "@briarhill/common/http/body_reader";
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HostMetrics } from "../observe/host_metrics.ts";
import {
  decodePermitCall,
  type LimitReport,
  type PermitCall,
  type PermitReply,
} from "./permit_message.ts";
import { PermitUse } from "./permit_use.ts";
import { ServicePermits } from "./service_permits.ts";

/** The header that marks a call about permits. */
export const PERMIT_HEADER = "Briarhill-Permit";
/** The status of a reply of a host that does not own the permits. */
export const STATUS_NOT_OWNER = 421;
const STATUS_BAD_CALL = 400;
const BODY_TIMEOUT_MS = 500;
const MAX_BODY_BYTES = 65_536;
/** The share of each rate that is granted while the ownership is not confirmed. */
const UNCONFIRMED_RATE_SHARE = 0.5;

/** Whether this host owns a shard: "unconfirmed" if it did but may have lost it since. */
export type ShardOwnership = "confirmed" | "unconfirmed" | "none";

/** Options of {@link PermitOwner}. */
export interface PermitOwnerOptions {
  /** The account of the messages of other hosts. */
  readonly internalResponses: ResponseMemory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  readonly getOwnership: (service: string) => ShardOwnership;
  /** Called when a limit has changed, so that the other hosts learn of it. */
  readonly onLimitChanged: (service: string, limit: LimitReport) => void;
}

/** Grants the permits of the services that this host owns. */
export class PermitOwner {
  readonly #options: PermitOwnerOptions;
  readonly #services = new Map<string, ServicePermits>();
  readonly #uses = new Map<string, PermitUse>();

  constructor(options: PermitOwnerOptions) {
    this.#options = options;
  }

  /**
   * Handles a call; returns undefined if this host does not own the permits of the service.
   *
   * @param call - The call.
   * @param signal - Aborts when the caller no longer waits for the reply.
   */
  async handleCall(
    call: PermitCall,
    signal: AbortSignal,
  ): Promise<PermitReply | undefined> {
    const ownership = this.#options.getOwnership(call.service);
    if (ownership === "none") {
      this.#services.get(call.service)?.close();
      this.#services.delete(call.service);
      return undefined;
    }
    const permits = this.#getPermits(call.service);
    permits.setRateShare(
      ownership === "confirmed" ? 1 : UNCONFIRMED_RATE_SHARE,
    );
    for (const limit of call.limits) {
      if (permits.applyReport(limit)) {
        this.#options.onLimitChanged(call.service, limit);
      }
    }
    if (call.request === undefined) {
      return { kind: "noted" };
    }
    const reply = await permits.decideRequest(call.request, signal);
    if (reply !== undefined) {
      this.#addDecision(call.service, call.request.flow, reply);
    }
    return reply;
  }

  /**
   * Answers a call of another host.
   *
   * @param request - The call.
   * @param response - The response to write to.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const closed = new AbortController();
    response.on("close", () => closed.abort());
    response.on("error", () => closed.abort());
    try {
      const body = await readBody(request, {
        timeoutMs: BODY_TIMEOUT_MS,
        maxBytes: MAX_BODY_BYTES,
        memory: this.#options.internalResponses,
        port: "peer",
        operation: "permit",
      });
      const reply = await this.handleCall(
        decodePermitCall(body),
        closed.signal,
      );
      writeReply(response, reply);
    } catch (error) {
      this.#options.logger.error("permit-call-failed", error);
      error instanceof InputError
        ? response.writeHead(STATUS_BAD_CALL, { "content-length": 0 }).end()
        : response.destroy();
    }
  }

  /**
   * Removes the limits of endpoints that no longer exist.
   *
   * @param ids - The endpoints' IDs.
   */
  removeEndpoints(ids: readonly EndpointId[]): void {
    for (const [service, permits] of this.#services) {
      for (const endpoint of ids) {
        if (permits.removeEndpoint(endpoint)) {
          this.#options.onLimitChanged(service, {
            endpoint,
            startedAtMs: 0,
            ratePerS: undefined,
            ageMs: 0,
          });
        }
      }
    }
  }

  /** Rejects all waiting requests. */
  close(): void {
    this.#services.forEach((permits) => permits.close());
    this.#services.clear();
  }

  #getPermits(service: string): ServicePermits {
    const known = this.#services.get(service);
    if (known !== undefined) {
      return known;
    }
    const permits = new ServicePermits(this.#options.clock);
    this.#services.set(service, permits);
    return permits;
  }

  #addDecision(service: string, flow: string, reply: PermitReply): void {
    const { metrics, logger, clock } = this.#options;
    metrics.addPermit(reply.kind);
    const use = this.#uses.get(service) ?? new PermitUse();
    this.#uses.set(service, use);
    use.addDecision(flow, reply);
    const summary = use.takeSummary(clock.getMonotonicMs());
    if (summary !== undefined) {
      const permits = this.#services.get(service);
      logger.info("permits-decided", {
        service,
        ...summary,
        waiting: permits?.waiting ?? 0,
        limits: [...permits?.limits ?? []].map(([endpoint, { ratePerS }]) =>
          `${endpoint}=${ratePerS ?? "ended"}`
        ).join(","),
      });
    }
  }
}

function writeReply(
  response: ServerResponse,
  reply: PermitReply | undefined,
): void {
  const body = Buffer.from(reply === undefined ? "" : JSON.stringify(reply));
  response.writeHead(reply === undefined ? STATUS_NOT_OWNER : 200, {
    "content-type": "application/json",
    "content-length": body.length,
  }).end(body);
}
