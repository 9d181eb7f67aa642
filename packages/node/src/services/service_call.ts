/**
 * One call of a plain service, from the pick of an endpoint to its answer.
 * @module
 */
import {
  BriarhillError,
  DeadlineError,
  PortError,
  RefusedError,
} from "@briarhill/common/errors/errors";
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { ServiceResponse } from "@briarhill/ports/service/service";
import type {
  RequestCommand,
  RequestEvent,
} from "@briarhill/routing/requests/request_command";
import { RequestLifecycle } from "@briarhill/routing/requests/request_lifecycle";
import { computeBackoffMs } from "@briarhill/routing/retries/backoff";
import type { RetryBudget } from "@briarhill/routing/retries/retry_budget";
import type { NodeContext } from "../node/node_context.ts";
import type { CallBody } from "./call_body.ts";
import type { ServicePool } from "./service_pool.ts";

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1000;

/** What a call asks for. */
export interface ServiceCallOptions {
  readonly context: NodeContext;
  readonly pool: ServicePool;
  readonly budget: RetryBudget;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: CallBody;
  /** Whether it may be sent again after it may have run. */
  readonly idempotent: boolean;
  /** Gives the call up, for the deadline or because the caller went away. */
  readonly signal: AbortSignal;
}

/** One call of a plain service. */
export class ServiceCall {
  readonly #options: ServiceCallOptions;
  readonly #lifecycle: RequestLifecycle;
  readonly #tried: EndpointId[] = [];
  #next: RequestCommand | undefined;
  #lastError: unknown;

  constructor(options: ServiceCallOptions) {
    this.#options = options;
    this.#lifecycle = new RequestLifecycle({
      idempotent: options.idempotent,
      resume: false,
      maxAttempts: MAX_ATTEMPTS,
    });
  }

  /** Sends the call, and again where that is safe, and returns the head of its answer. */
  async send(): Promise<ServiceResponse> {
    const { service } = this.#options;
    const endpoint = this.#pick();
    if (endpoint === undefined) {
      throw new RefusedError(`no endpoint of service "${service}" is live`, {
        props: { retryAfterMs: RETRY_AFTER_MS, reason: "no-endpoint" },
      });
    }
    this.#handle({ type: "admitted", endpoint });
    while (true) {
      if (this.#next?.kind === "dial") {
        const response = await this.#sendOnce(this.#next.endpoint);
        if (response !== undefined) {
          return response;
        }
      } else if (this.#next?.kind === "backoff") {
        await this.#waitBackoff(this.#next.attempt);
      } else {
        throw this.#createFailure();
      }
    }
  }

  async #sendOnce(id: EndpointId): Promise<ServiceResponse | undefined> {
    const { pool, method, path, headers, body, signal } = this.#options;
    pool.recordOpen(id, 1);
    try {
      const service = pool.getService(id);
      if (service === undefined) {
        throw new PortError(`endpoint "${id}" is gone`, {
          props: { port: "service", operation: "call", fault: "refused" },
        });
      }
      const hasBody = method !== "GET" && method !== "HEAD";
      const response = await service.call({
        method,
        path,
        headers,
        ...(hasBody ? { body: body.read() } : {}),
      }, signal);
      this.#handle({ type: "finished" });
      pool.recordSuccess(id);
      return { ...response, body: readCounted(response, pool, id) };
    } catch (error) {
      pool.recordOpen(id, -1);
      this.#handleBroken(error);
      return undefined;
    }
  }

  #handleBroken(error: unknown): void {
    const { body, budget, signal } = this.#options;
    this.#lastError = error;
    const isPortError = error instanceof PortError;
    const isAborted = signal.aborted || !isPortError;
    this.#handle({
      type: "broken",
      fault: isPortError && !isAborted ? error.fault : "cancelled",
      outcome: error instanceof BriarhillError ? error.outcome : "unknown",
      offset: 0,
      canRetry: !isAborted && body.canRead() && budget.hasRetry(),
    });
  }

  async #waitBackoff(attempt: number): Promise<void> {
    const { context, budget, signal } = this.#options;
    budget.acquire();
    const delayMs = computeBackoffMs(attempt, { random: context.random });
    await context.clock.sleep(delayMs, signal);
    const endpoint = signal.aborted ? undefined : this.#pick();
    const type = "picked" as const;
    this.#handle(endpoint ? { type, endpoint } : { type: "refused" });
  }

  #pick(): EndpointId | undefined {
    const { pool, service } = this.#options;
    const endpoint = pool.pick(service, this.#tried);
    if (endpoint !== undefined) {
      this.#tried.push(endpoint);
    }
    return endpoint;
  }

  #handle(event: RequestEvent): void {
    const { pool, service, signal } = this.#options;
    for (const command of this.#lifecycle.handle(event)) {
      if (command.kind !== "blame") {
        this.#next = command;
      } else if (!command.isOverload && !signal.aborted) {
        pool.recordFailure(command.endpoint, service);
      }
    }
  }

  #createFailure(): Error {
    const failure = this.#next?.kind === "fail" ? this.#next : undefined;
    const outcome = failure?.outcome ?? "unknown";
    const cause = this.#lastError;
    if (cause instanceof BriarhillError && !(cause instanceof PortError)) {
      return cause;
    }
    if (this.#options.signal.aborted) {
      return new DeadlineError("the call was given up before its answer", {
        cause,
        props: { outcome },
      });
    }
    if (outcome === "not-run") {
      return new RefusedError("no endpoint took the call", {
        cause,
        props: { retryAfterMs: RETRY_AFTER_MS, reason: "no-endpoint" },
      });
    }
    const fault = cause instanceof PortError ? cause.fault : "reset";
    return new PortError("the call broke off before its answer", {
      cause,
      props: { port: "service", operation: "call", fault, outcome },
    });
  }
}

/** Counts a call as open until its answer has been read. */
async function* readCounted(
  response: ServiceResponse,
  pool: ServicePool,
  id: EndpointId,
): AsyncIterable<Uint8Array> {
  try {
    yield* response.body;
  } finally {
    pool.recordOpen(id, -1);
  }
}
