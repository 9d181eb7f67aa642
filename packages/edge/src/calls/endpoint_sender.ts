/**
 * Sends single requests to endpoints and tells what became of them.
 * @module
 */
import { PortError, type PortFault } from "@briarhill/common/errors/errors";
import { createPortError } from "@briarhill/common/errors/port_fault";
import type {
  HttpAnswer,
  HttpHead,
} from "@briarhill/common/http/http_exchange";
import { readBody } from "@briarhill/common/http/body_reader";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { Clock } from "@briarhill/common/time/clock";
import {
  decodeEndpointAnswer,
  type EndpointAnswerHead,
} from "@briarhill/platform/ingress/endpoint_answer";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { EndpointOutcome } from "@briarhill/routing/endpoints/endpoint_load";
import type { Buffer } from "node:buffer";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";

/** Some ten round trips between failure domains; a new connection that takes longer is not coming. */
const CONNECT_TIMEOUT_MS = 250;
/** Below an endpoint's bound on connections, shared by all hosts. */
const MAX_CONNECTIONS = 40;
const IDLE_TIMEOUT_MS = 8_000;
/** The largest answer to a call of control, in bytes; a report lists what one endpoint runs. */
const MAX_CONTROL_BYTES = 1_048_576;
const FIRST_REDIRECT_STATUS = 300;

/** What a sender needs. */
export interface EndpointSenderOptions {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  /** The largest answer that is held whole, in bytes. */
  readonly maxAnswerBytes: number;
}

/** Faults that hold up whatever is sent next, too. */
const HOLDING_FAULTS: ReadonlySet<PortFault> = new Set([
  "silent",
  "refused",
  "oversized",
]);

/** One request to one endpoint. */
export interface EndpointRequest {
  readonly endpoint: EndpointStructure;
  /** The id that the endpoint has to echo. */
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The longest wait for the head of the answer, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** An answer whose head was checked. */
export interface CheckedHead {
  readonly head: HttpHead;
  readonly answer: EndpointAnswerHead;
}

/** Sends single requests to endpoints, and keeps the board up to date. */
export class EndpointSender {
  readonly #options: EndpointSenderOptions;
  readonly #sender = new HttpSender({
    port: "endpoint",
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxConnections: MAX_CONNECTIONS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    maxBodyBytes: MAX_CONTROL_BYTES,
  });

  constructor(options: EndpointSenderOptions) {
    this.#options = options;
  }

  /**
   * Sends a request and returns the whole answer. An answer that belongs to
   * another request, breaks off, is too large, or is a success that no endpoint
   * has signed, is a `PortError` with the outcome "unknown".
   *
   * @param request - The request.
   */
  async send(
    request: EndpointRequest,
  ): Promise<
    { readonly whole: HttpAnswer; readonly answer: EndpointAnswerHead }
  > {
    return await this.run(request, async ({ head, answer }) => {
      if (answer.status < FIRST_REDIRECT_STATUS && answer.signature === "") {
        head.stream.destroy();
        throw createMalformedError(request, "a success without a signature");
      }
      const body = await readBody(head.stream, {
        timeoutMs: request.timeoutMs,
        maxBytes: this.#options.maxAnswerBytes,
        port: "endpoint",
        operation: request.path,
      });
      return { whole: { ...head, body }, answer };
    });
  }

  /**
   * Sends a request and hands its answer on as soon as its head is there.
   *
   * @param request - The request.
   * @param use - Reads the answer; the request counts as in flight until it ends.
   */
  async run<T>(
    request: EndpointRequest,
    use: (checked: CheckedHead) => Promise<T>,
  ): Promise<T> {
    const { clock, directory } = this.#options;
    const load = directory.board.getLoad(request.endpoint.id);
    load.addRequest();
    let outcome: EndpointOutcome | "cancelled" = "broken";
    try {
      const checked = await this.#open(request)
        .finally(() => load.addAnswer());
      const { requests, isRefused } = checked.answer;
      if (requests !== undefined) {
        load.setReported(requests, clock.getMonotonicMs());
      }
      const result = await use(checked);
      outcome = isRefused ? "refused" : "served";
      return result;
    } catch (error) {
      outcome = getOutcome(error, request.signal);
      throw error;
    } finally {
      load.removeRequest(outcome, clock.getMonotonicMs());
    }
  }

  /**
   * Makes a call of control to an endpoint, which is not counted as load.
   *
   * @param endpoint - The endpoint.
   * @param call - The call.
   * @param timeoutMs - The longest wait for the answer, in milliseconds.
   */
  async callControl(
    endpoint: EndpointStructure,
    call: {
      readonly method: string;
      readonly path: string;
      readonly headers: readonly string[];
      readonly body?: Buffer;
    },
    timeoutMs: number,
  ): Promise<HttpAnswer> {
    const { address } = endpoint;
    const answer = await this.#sender.send({
      address,
      ...call,
      headers: ["Host", `${address.hostname}:${address.port}`, ...call.headers],
      headTimeoutMs: timeoutMs,
    }, timeoutMs);
    this.#applyHead(endpoint, decodeEndpointAnswer(answer));
    return answer;
  }

  /** Closes all connections. */
  close(): void {
    this.#sender.close();
  }

  async #open(request: EndpointRequest): Promise<CheckedHead> {
    const { endpoint, attemptId, timeoutMs, ...rest } = request;
    const head = await this.#sender.open({
      ...rest,
      address: endpoint.address,
      exchangeId: attemptId,
      headTimeoutMs: timeoutMs,
    });
    // Aborting later has to end the answer too.
    const end = () => head.stream.destroy();
    request.signal.addEventListener("abort", end, { once: true });
    head.stream.on("close", () => {
      request.signal.removeEventListener("abort", end);
    });
    const answer = decodeEndpointAnswer(head);
    this.#applyHead(endpoint, answer);
    if (answer.attemptId !== attemptId && !answer.isOtherEndpoint) {
      head.stream.destroy();
      throw createMalformedError(
        request,
        `an answer to "${answer.attemptId}", expected "${attemptId}"`,
      );
    }
    return { head, answer };
  }

  /** Another endpoint that answers at the address says nothing of this one. */
  #applyHead(endpoint: EndpointStructure, answer: EndpointAnswerHead): void {
    if (answer.isLeaving && !answer.isOtherEndpoint) {
      this.#options.directory.setLeaving(endpoint);
    }
  }
}

function createMalformedError(
  { endpoint, path }: EndpointRequest,
  found: string,
): PortError {
  return createPortError(`endpoint "${endpoint.id}" sent ${found}`, {
    port: "endpoint",
    operation: path,
    fault: "malformed",
    outcome: "unknown",
  });
}

function getOutcome(
  error: unknown,
  signal: AbortSignal,
): EndpointOutcome | "cancelled" {
  if (signal.aborted) {
    return "cancelled";
  }
  const fault = error instanceof PortError ? error.fault : "reset";
  return HOLDING_FAULTS.has(fault) ? "unreachable" : "broken";
}
