/**
 * Routes of the calls of services. A call that is not idempotent but has an
 * idempotency key is claimed in the log, so that it runs at most once over all hosts.
 * @module
 */
import { InputError, PermissionError } from "@briarhill/common/errors/errors";
import type { Contract } from "@briarhill/contract/contract/contract";
import type { ServiceGrantStructure } from "@briarhill/contract/contract/contract_structure";
import { RetryBudget } from "@briarhill/routing/retries/retry_budget";
import { CallMetrics } from "../calls/call_metrics.ts";
import { ClaimedCalls } from "../claims/claimed_calls.ts";
import { ClaimManager } from "../claims/claim_manager.ts";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import { getContractOrThrow } from "../http/authentication.ts";
import type { Exchange } from "../http/exchange.ts";
import type { HttpListener } from "../http/http_listener.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import { CallBody } from "./call_body.ts";
import { toForwardedHeaders } from "./forwarded_headers.ts";
import { OpenCalls } from "./open_calls.ts";
import { sendResponse } from "./service_response.ts";
import { ServiceCall } from "./service_call.ts";
import { ServicePool } from "./service_pool.ts";

const RECEIVE_TIMEOUT_MS = 10_000;
const MAX_IDEMPOTENCY_KEY_CHARACTERS = 255;

/** Options of {@link ServiceRoutes}. */
export interface ServiceRoutesOptions {
  readonly contracts: ContractSource;
  readonly directory: EndpointDirectory;
  readonly peers: PeerNetwork;
}

/** Serves the calls of services. */
export class ServiceRoutes {
  readonly #context: NodeContext;
  readonly #contracts: ContractSource;
  readonly #pool: ServicePool;
  readonly #claimedCalls: ClaimedCalls;
  readonly #budget = new RetryBudget();
  readonly #openCalls = new OpenCalls();

  constructor(context: NodeContext, options: ServiceRoutesOptions) {
    const { clock, random } = context;
    this.#context = context;
    this.#contracts = options.contracts;
    this.#pool = new ServicePool({
      directory: options.directory,
      clock,
      random,
    });
    const claims = new ClaimManager(context, options.peers);
    this.#claimedCalls = new ClaimedCalls(context, claims);
  }

  /**
   * Adds the routes to a listener.
   *
   * @param listener - The HTTP listener that callers connect to.
   */
  register(listener: HttpListener): void {
    listener.addRoute(
      ["GET", "POST", "PUT", "DELETE", "PATCH", "HEAD"],
      "/services/:name/*",
      (exchange) => this.#handleCall(exchange),
    );
  }

  /** Returns the number of claimed calls in flight whose callers have disconnected. */
  countDisconnected(): number {
    return this.#claimedCalls.running.countDisconnected();
  }

  /** Resolves when no claimed call is in flight. */
  waitUntilIdle(): Promise<void> {
    return this.#claimedCalls.running.waitUntilIdle();
  }

  async #handleCall(exchange: Exchange): Promise<void> {
    const contract = getContractOrThrow(exchange, this.#contracts);
    const grant = getGrantOrThrow(contract, exchange.params["name"] ?? "");
    throwIfTooLarge(exchange, grant);
    const { customer } = contract;
    const startMs = this.#context.clock.getMonotonicMs();
    const metrics = new CallMetrics(this.#context.histograms, {
      customer,
      requestClass: "service",
    });
    const getElapsedMs = () => this.#context.clock.getMonotonicMs() - startMs;
    try {
      const close = this.#openCalls.open(
        `${customer} ${grant.name}`,
        grant.maxOpenCalls,
      );
      await this.#runCall(exchange, contract, grant).finally(close);
      metrics.record("call_whole_ms", getElapsedMs());
    } catch (error) {
      metrics.recordFailure(error, getElapsedMs());
      throw error;
    }
  }

  async #runCall(
    exchange: Exchange,
    contract: Contract,
    grant: ServiceGrantStructure,
  ): Promise<void> {
    this.#budget.recordRequest();
    const idempotent = grant.idempotent && !isMarkedNonIdempotent(exchange);
    const key = getIdempotencyKey(exchange);
    // Without a key, repeats aren't recognized; only this host avoids a resend.
    const isClaimed = !idempotent && key !== undefined;
    const controller = new AbortController();
    const timer = this.#context.clock.setTimer(
      grant.deadlineMs,
      () => controller.abort(),
    );
    if (!isClaimed) {
      exchange.signal.addEventListener("abort", () => controller.abort());
    }
    const call = this.#createCall(exchange, {
      grant,
      idempotent,
      signal: controller.signal,
    });
    try {
      const response = isClaimed
        ? await this.#claimedCalls.run({
          customer: contract.customer,
          service: grant.name,
          idempotencyKey: key,
          deadlineMs: this.#context.clock.getMonotonicMs() + grant.deadlineMs,
          caller: exchange.signal,
          send: () => call.send(),
        })
        : await call.send();
      await sendResponse(exchange, { response, signal: controller.signal });
    } finally {
      timer.cancel();
    }
  }

  #createCall(
    exchange: Exchange,
    options: {
      readonly grant: ServiceGrantStructure;
      readonly idempotent: boolean;
      readonly signal: AbortSignal;
    },
  ): ServiceCall {
    const { request } = exchange;
    const { grant, idempotent, signal } = options;
    const limits = {
      maxBytes: grant.maxBodyBytes,
      receiveTimeoutMs: RECEIVE_TIMEOUT_MS,
    };
    return new ServiceCall({
      context: this.#context,
      pool: this.#pool,
      budget: this.#budget,
      service: grant.name,
      method: request.method ?? "GET",
      path: getPathOrThrow(exchange, grant.name),
      headers: toForwardedHeaders(request.headers),
      body: new CallBody(request, limits, this.#context.clock),
      idempotent,
      signal,
    });
  }
}

function getGrantOrThrow(
  contract: Contract,
  service: string,
): ServiceGrantStructure {
  const grant = contract.getServiceGrant(service);
  if (grant === undefined) {
    throw new PermissionError(
      `the contract of "${contract.customer}" does not allow service "${service}"`,
    );
  }
  return grant;
}

/** Rejects paths with dot segments, which could point outside the service's base address. */
function getPathOrThrow(exchange: Exchange, service: string): string {
  const url = exchange.request.url ?? "";
  const base = `/services/${service}/`;
  const path = url.slice(base.length - 1);
  const hasDots = /(^|[\\/]|%2f|%5c)(\.|%2e){1,2}([\\/?#]|%2f|%5c|$)/i.test(
    path,
  );
  if (!url.startsWith(base) || hasDots) {
    throw new InputError(
      `the path "${url}" is not a valid path of service "${service}"`,
    );
  }
  return path;
}

/** Rejects a body by its content-length before it is read. */
function throwIfTooLarge(
  exchange: Exchange,
  { maxBodyBytes }: ServiceGrantStructure,
): void {
  const length = Number(exchange.request.headers["content-length"] ?? 0);
  if (length > maxBodyBytes) {
    throw new InputError(
      `the request body has ${length} bytes, the maximum is ${maxBodyBytes}`,
    );
  }
}

function isMarkedNonIdempotent(exchange: Exchange): boolean {
  return exchange.request.headers["briarhill-non-idempotent"] === "true";
}

function getIdempotencyKey(exchange: Exchange): string | undefined {
  const key = exchange.request.headers["idempotency-key"];
  if (typeof key !== "string" || key === "") {
    return undefined;
  }
  if (key.length > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
    throw new InputError(
      `the idempotency key has ${key.length} characters, ` +
        `the maximum is ${MAX_IDEMPOTENCY_KEY_CHARACTERS}`,
    );
  }
  return key;
}
