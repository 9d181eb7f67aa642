/**
 * Runs a call of a service: picks an endpoint, sends the call and retries it on
 * another endpoint. A call that may have run is repeated only if it is idempotent.
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

/** Options of {@link ServiceCall}. */
export interface ServiceCallOptions {
  readonly context: NodeContext;
  readonly pool: ServicePool;
  readonly budget: RetryBudget;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: CallBody;
  /** Whether the call may be sent again although it may already have run. */
  readonly idempotent: boolean;
  /** Aborts the call, at the deadline or when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** One call of a service, with its attempts. */
export class ServiceCall {
  readonly #options: ServiceCallOptions;
  readonly #lifecycle: RequestLifecycle;
  readonly #triedEndpoints: EndpointId[] = [];
  #nextCommand: RequestCommand | undefined;
  #lastError: unknown;

  constructor(options: ServiceCallOptions) {
    this.#options = options;
    this.#lifecycle = new RequestLifecycle({
      idempotent: options.idempotent,
      resume: false,
      maxAttempts: MAX_ATTEMPTS,
    });
  }

  /**
   * Sends the call, retries it where that is safe, and returns the response as
   * soon as its head has arrived.
   */
  async send(): Promise<ServiceResponse> {
    const { service } = this.#options;
    const endpoint = this.#pick();
    if (endpoint === undefined) {
      throw new RefusedError(`service "${service}" has no live endpoint`, {
        props: { retryAfterMs: RETRY_AFTER_MS, reason: "no-endpoint" },
      });
    }
    this.#handle({ type: "admitted", endpoint });
    while (true) {
      if (this.#nextCommand?.kind === "dial") {
        const response = await this.#sendAttempt(this.#nextCommand.endpoint);
        if (response !== undefined) {
          return response;
        }
      } else if (this.#nextCommand?.kind === "backoff") {
        await this.#waitBackoff(this.#nextCommand.attempt);
      } else {
        throw this.#createError();
      }
    }
  }

  async #sendAttempt(id: EndpointId): Promise<ServiceResponse | undefined> {
    const { pool, method, path, headers, body, signal } = this.#options;
    pool.updateOpenCalls(id, 1);
    try {
      const service = pool.getService(id);
      if (service === undefined) {
        throw new PortError(`endpoint "${id}" is no longer listed`, {
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
      return { ...response, body: readCountedBody(response, pool, id) };
    } catch (error) {
      pool.updateOpenCalls(id, -1);
      this.#handleFailedAttempt(error);
      return undefined;
    }
  }

  #handleFailedAttempt(error: unknown): void {
    const { body, budget, signal } = this.#options;
    this.#lastError = error;
    const isPortError = error instanceof PortError;
    const isAborted = signal.aborted || !isPortError;
    this.#handle({
      type: "broken",
      fault: isPortError && !isAborted ? error.fault : "cancelled",
      outcome: error instanceof BriarhillError ? error.outcome : "unknown",
      offset: 0,
      canRetry: !isAborted && body.canReplay() && budget.hasRetry(),
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
    const endpoint = pool.pick(service, this.#triedEndpoints);
    if (endpoint !== undefined) {
      this.#triedEndpoints.push(endpoint);
    }
    return endpoint;
  }

  #handle(event: RequestEvent): void {
    const { pool, service, signal } = this.#options;
    for (const command of this.#lifecycle.handle(event)) {
      if (command.kind !== "blame") {
        this.#nextCommand = command;
      } else if (!command.isOverload && !signal.aborted) {
        pool.recordFailure(command.endpoint, service);
      }
    }
  }

  #createError(): Error {
    const failure = this.#nextCommand?.kind === "fail"
      ? this.#nextCommand
      : undefined;
    const outcome = failure?.outcome ?? "unknown";
    const cause = this.#lastError;
    if (cause instanceof BriarhillError && !(cause instanceof PortError)) {
      return cause;
    }
    if (this.#options.signal.aborted) {
      return new DeadlineError(
        "the call was aborted before its response arrived",
        {
          cause,
          props: { outcome },
        },
      );
    }
    if (outcome === "not-run") {
      return new RefusedError("no endpoint accepted the call", {
        cause,
        props: { retryAfterMs: RETRY_AFTER_MS, reason: "no-endpoint" },
      });
    }
    const fault = cause instanceof PortError ? cause.fault : "reset";
    return new PortError("the call failed before its response arrived", {
      cause,
      props: { port: "service", operation: "call", fault, outcome },
    });
  }
}

/** Yields the body of a response and counts the call as open until it has been read. */
async function* readCountedBody(
  response: ServiceResponse,
  pool: ServicePool,
  id: EndpointId,
): AsyncIterable<Uint8Array> {
  try {
    yield* response.body;
  } finally {
    pool.updateOpenCalls(id, -1);
  }
}
