/**
 * Sends single requests to endpoints, records each outcome in the endpoint's
 * load, and reports failures as `PortError`. A response that belongs to another
 * request must never be returned.
 * @module
 */
import type { HttpResponse } from "@briarhill/common/http/http_exchange";
import { readBody } from "@briarhill/common/http/body_reader";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { Clock } from "@briarhill/common/time/clock";
import {
  decodeEndpointResponse,
  type EndpointResponseHead,
} from "@briarhill/platform/ingress/endpoint_response";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { EndpointOutcome } from "@briarhill/routing/endpoints/endpoint_load";
import type { Buffer } from "node:buffer";
import type { CheckedHead, EndpointRequest } from "./endpoint_request.ts";
import {
  createForeignError,
  createMalformedError,
  getEndpointOutcome,
  isForeign,
  isUnsigned,
} from "./endpoint_failure.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { ReachMonitor } from "../reach/reach_monitor.ts";
import { ExchangeWatch } from "../reach/exchange_watch.ts";
import type {
  ObservedLimits,
  RequestPurpose,
} from "../limits/observed_limits.ts";

/** About ten round trips between failure domains; a connection that takes longer is not expected to be established. */
const CONNECT_TIMEOUT_MS = 250;
/** The maximum number of connections to one endpoint, below the endpoint's own limit, which all hosts share. */
const MAX_CONNECTIONS = 40;
/** The time for which an idle connection is kept if the endpoint states no shorter one, in milliseconds; an endpoint that states none closes none. */
const IDLE_TIMEOUT_MS = 60_000;
/** The maximum size of the response to a control call, in bytes; a report lists everything that one endpoint runs. */
const MAX_CONTROL_BYTES = 1_048_576;

/** Options of {@link EndpointSender}. */
export interface EndpointSenderOptions {
  /** The account of the responses of endpoints. */
  readonly endpointResponses: ResponseMemory;
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  readonly limits: ObservedLimits;
  readonly reach: ReachMonitor;
  /** The maximum size of a response that is buffered completely, in bytes. */
  readonly maxAnswerBytes: number;
}

/** Sends single requests to endpoints and records their outcomes in the loads of the endpoints. */
export class EndpointSender {
  readonly #options: EndpointSenderOptions;
  readonly #watch: ExchangeWatch;
  readonly #sender: HttpSender;

  constructor(options: EndpointSenderOptions) {
    this.#options = options;
    this.#sender = new HttpSender({
      port: "endpoint",
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxConnections: MAX_CONNECTIONS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxBodyBytes: MAX_CONTROL_BYTES,
      hasLateCopies: true,
      memory: options.endpointResponses,
    });
    this.#watch = new ExchangeWatch(options);
    options.directory.endpointPicker.setIdleCounter(({ address }) =>
      this.#sender.countIdle(address)
    );
  }

  /**
   * Sends a request and returns the complete response. Throws a `PortError` with
   * the outcome "unknown" if the response belongs to another request, is
   * incomplete or too large, or reports success without an endpoint's signature.
   *
   * @param request - The request to send.
   */
  async send(
    request: EndpointRequest,
  ): Promise<
    { readonly httpAnswer: HttpResponse; readonly answer: EndpointResponseHead }
  > {
    return await this.run(request, async ({ head, answer }) => {
      const body = await readBody(head.stream, {
        timeoutMs: request.timeoutMs,
        maxBytes: this.#options.maxAnswerBytes,
        memory: this.#options.endpointResponses,
        // A score is the signature in the head.
        isDiscarded: request.purpose === "scoring",
        port: "endpoint",
        operation: request.path,
      });
      return { httpAnswer: { ...head, body }, answer };
    });
  }

  /**
   * Sends a request and calls `readAnswer` as soon as the head of the response
   * has arrived.
   *
   * @param request - The request to send.
   * @param readAnswer - Reads the response; the request counts as in flight until it settles.
   */
  async run<T>(
    request: EndpointRequest,
    readAnswer: (checked: CheckedHead) => Promise<T>,
  ): Promise<T> {
    const { clock, directory } = this.#options;
    const load = directory.endpointPicker.getLoad(request.endpoint.id);
    load.addRequest();
    let outcome: EndpointOutcome | "cancelled" = "broken";
    const watched = this.#watch.addExchange(request.endpoint.service);
    try {
      const checked = await this.#open(request)
        .finally(() => load.removeUnanswered());
      watched.setResponse(checked.head.stream);
      load.setStatedLoad(checked.answer.load, clock.getMonotonicMs());
      const result = await readAnswer(checked);
      outcome = checked.answer.isRefused ? "refused" : "served";
      return result;
    } catch (error) {
      outcome = getEndpointOutcome(error, request.signal);
      watched.addError(error, request.signal);
      throw error;
    } finally {
      watched.close();
      load.removeRequest(outcome, clock.getMonotonicMs());
    }
  }

  /**
   * Sends a control call to an endpoint. Control calls do not count as requests
   * in flight.
   *
   * @param endpoint - The endpoint to call.
   * @param call - The method, path, headers and body of the call.
   * @param timeoutMs - The timeout for the head of the response and again for its body, in milliseconds.
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
  ): Promise<HttpResponse> {
    const { address } = endpoint;
    const { clock, limits } = this.#options;
    limits.addRequest(endpoint, "control");
    const purpose = "control";
    const sent = { sentAtMs: clock.getMonotonicMs(), purpose } as const;
    const watched = this.#watch.addExchange(endpoint.service);
    const answer = await this.#sender.send({
      address,
      ...call,
      headers: ["Host", `${address.hostname}:${address.port}`, ...call.headers],
      headTimeoutMs: timeoutMs,
    }, timeoutMs).catch((error: unknown) => {
      watched.addError(error);
      throw error;
    }).finally(() => watched.close());
    this.#options.reach.addAnswer(endpoint.service);
    const head = decodeEndpointResponse(answer);
    if (head.attemptId !== "") {
      throw createForeignError({ endpoint, path: call.path }, head);
    }
    this.#applyHead(endpoint, head, sent);
    return answer;
  }

  /** Closes all connections to endpoints. */
  close(): void {
    this.#watch.close();
    this.#sender.close();
  }

  async #open(request: EndpointRequest): Promise<CheckedHead> {
    const { endpoint, attemptId, timeoutMs, purpose, ...rest } = request;
    const { clock, limits } = this.#options;
    limits.addRequest(endpoint, purpose);
    const sent = { sentAtMs: clock.getMonotonicMs(), purpose };
    const head = await this.#sender.open({
      ...rest,
      address: endpoint.address,
      ...(attemptId === "" ? {} : { exchangeId: attemptId }),
      headTimeoutMs: timeoutMs,
    });
    // An abort after the head has arrived must also end the body.
    const destroyStream = () => head.stream.destroy();
    request.signal.addEventListener("abort", destroyStream, { once: true });
    head.stream.on("close", () => {
      request.signal.removeEventListener("abort", destroyStream);
    });
    this.#options.reach.addAnswer(endpoint.service);
    const answer = decodeEndpointResponse(head);
    if (isForeign({ answer, attemptId, isReused: head.isReused })) {
      head.stream.destroy();
      throw createForeignError(request, answer);
    }
    if (isUnsigned(answer)) {
      head.stream.destroy();
      throw createMalformedError(
        request,
        "a successful response without a signature",
      );
    }
    this.#applyHead(endpoint, answer, sent);
    return { head, answer };
  }

  /** Ignores a response of another endpoint at the same address, as it says nothing about this one. */
  #applyHead(
    endpoint: EndpointStructure,
    answer: EndpointResponseHead,
    sent: { readonly sentAtMs: number; readonly purpose: RequestPurpose },
  ): void {
    if (answer.isOtherEndpoint) {
      return;
    }
    if (answer.isLeaving) {
      this.#options.directory.setLeaving(endpoint);
    }
    this.#options.limits.applyResponse(endpoint, answer.limit, sent);
  }
}
