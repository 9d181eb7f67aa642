/**
 * Sends single requests to endpoints and tells what became of them.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { createPortError } from "@briarhill/common/errors/port_fault";
import type {
  HttpAnswer,
  HttpHead,
} from "@briarhill/common/http/http_exchange";
import { HttpSender, readBody } from "@briarhill/common/http/http_sender";
import type { Clock } from "@briarhill/common/time/clock";
import {
  decodeEndpointAnswer,
  type EndpointAnswerHead,
} from "@briarhill/platform/ingress/endpoint_answer";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { EndpointBoard } from "@briarhill/routing/endpoints/endpoint_board";
import type { EndpointOutcome } from "@briarhill/routing/endpoints/endpoint_load";
import type { Buffer } from "node:buffer";

/** Some ten round trips between failure domains; a new connection that takes longer is not coming. */
const CONNECT_TIMEOUT_MS = 250;
/** Below an endpoint's bound on connections, shared by all hosts. */
const MAX_CONNECTIONS = 40;
const IDLE_TIMEOUT_MS = 8_000;

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
  readonly #clock: Clock;
  readonly #board: EndpointBoard;
  readonly #sender = new HttpSender({
    port: "endpoint",
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxConnections: MAX_CONNECTIONS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
  });

  constructor(clock: Clock, board: EndpointBoard) {
    this.#clock = clock;
    this.#board = board;
  }

  /**
   * Sends a request and returns the whole answer. An answer that belongs to
   * another request, or breaks off, is a `PortError` with the outcome "unknown".
   *
   * @param request - The request.
   */
  async send(
    request: EndpointRequest,
  ): Promise<
    { readonly whole: HttpAnswer; readonly answer: EndpointAnswerHead }
  > {
    return await this.run(request, async ({ head, answer }) => {
      const body = await readBody(head.stream, {
        timeoutMs: request.timeoutMs,
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
    const load = this.#board.getLoad(request.endpoint.id);
    load.addRequest();
    let outcome: EndpointOutcome | "cancelled" = "broken";
    try {
      const checked = await this.#open(request);
      const { requests, isRefused } = checked.answer;
      if (requests !== undefined) {
        load.setReported(requests, this.#clock.getMonotonicMs());
      }
      const result = await use(checked);
      outcome = isRefused ? "refused" : "served";
      return result;
    } catch (error) {
      outcome = getOutcome(error, request.signal);
      throw error;
    } finally {
      load.removeRequest(outcome, this.#clock.getMonotonicMs());
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
    return await this.#sender.send({
      address,
      ...call,
      headers: ["Host", `${address.hostname}:${address.port}`, ...call.headers],
      headTimeoutMs: timeoutMs,
    }, timeoutMs);
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
      headTimeoutMs: timeoutMs,
    });
    // Aborting later has to end the answer too.
    const end = () => head.stream.destroy();
    request.signal.addEventListener("abort", end, { once: true });
    head.stream.on("close", () => {
      request.signal.removeEventListener("abort", end);
    });
    const answer = decodeEndpointAnswer(head);
    if (answer.attemptId !== attemptId && !answer.isOtherEndpoint) {
      head.stream.destroy();
      throw createPortError(
        `endpoint "${endpoint.id}" answered "${answer.attemptId}", expected "${attemptId}"`,
        {
          port: "endpoint",
          operation: request.path,
          fault: "malformed",
          outcome: "unknown",
        },
      );
    }
    return { head, answer };
  }
}

function getOutcome(
  error: unknown,
  signal: AbortSignal,
): EndpointOutcome | "cancelled" {
  if (signal.aborted) {
    return "cancelled";
  }
  const fault = error instanceof PortError ? error.fault : "reset";
  return fault === "silent" || fault === "refused" ? "unreachable" : "broken";
}
