/**
 * Routes of the OpenAI-compatible API: completions, chat completions and models.
 * A call counts against the customer's limit on open calls from before its body
 * is read until its response has been sent.
 * @module
 */
import { PermissionError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import type { Contract } from "@briarhill/contract/contract/contract";
import type { LiveStructure } from "@briarhill/contract/contract/contract_structure";
import { randomUUID } from "node:crypto";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { GenerationRequest, Generator } from "../generation/generator.ts";
import { getContractOrThrow } from "../http/authentication.ts";
import type { Exchange } from "../http/exchange.ts";
import type { HttpListener } from "../http/http_listener.ts";
import type { NodeContext } from "../node/node_context.ts";
import { OpenCalls } from "../services/open_calls.ts";
import {
  sendFullResponse,
  sendStreamedResponse,
} from "./completion_response.ts";
import { readJsonWithTimeout } from "./body_reader.ts";
import { CallMetrics } from "./call_metrics.ts";
import { CompletionFormat } from "./completion_format.ts";
import {
  CHAT_BODY,
  COMPLETION_BODY,
  type CompletionCall,
  toChatCall,
  toCompletionCall,
} from "./completion_schema.ts";

interface OpenCall {
  readonly contract: Contract;
  readonly options: { readonly maxBytes: number; readonly clock: Clock };
}

/** Serves the OpenAI-compatible API. */
export class CompletionRoutes {
  readonly #context: NodeContext;
  readonly #contracts: ContractSource;
  readonly #generator: Generator;
  readonly #openCalls = new OpenCalls();

  constructor(
    context: NodeContext,
    contracts: ContractSource,
    generator: Generator,
  ) {
    this.#context = context;
    this.#contracts = contracts;
    this.#generator = generator;
  }

  /**
   * Adds the routes to a listener.
   *
   * @param listener - The HTTP listener that callers connect to.
   */
  register(listener: HttpListener): void {
    listener.addRoute(
      "POST",
      "/v1/completions",
      (exchange) => this.#handleCompletion(exchange),
    );
    listener.addRoute(
      "POST",
      "/v1/chat/completions",
      (exchange) => this.#handleChat(exchange),
    );
    listener.addRoute(
      "GET",
      "/v1/models",
      (exchange) => this.#handleModels(exchange),
    );
  }

  async #handleCompletion(exchange: Exchange): Promise<void> {
    await this.#runWithinLimit(exchange, async ({ contract, options }) => {
      const schema = COMPLETION_BODY;
      const body = await readJsonWithTimeout(exchange, { ...options, schema });
      await this.#runCall(exchange, contract, toCompletionCall(body));
    });
  }

  async #handleChat(exchange: Exchange): Promise<void> {
    await this.#runWithinLimit(exchange, async ({ contract, options }) => {
      const schema = CHAT_BODY;
      const body = await readJsonWithTimeout(exchange, { ...options, schema });
      await this.#runCall(exchange, contract, toChatCall(body));
    });
  }

  /** Runs a call while counting it as open; refuses it beyond the customer's limit. */
  async #runWithinLimit(
    exchange: Exchange,
    run: (call: OpenCall) => Promise<void>,
  ): Promise<void> {
    const { contract, live } = this.#getLiveOrThrow(exchange);
    const { clock, histograms } = this.#context;
    const { customer } = contract;
    const options = { maxBytes: live.maxBodyBytes, clock };
    let close: () => void;
    try {
      close = this.#openCalls.open(customer, live.maxOpenCalls);
    } catch (error) {
      new CallMetrics(histograms, { customer, requestClass: "live" })
        .recordFailure(error, 0);
      throw error;
    }
    await run({ contract, options }).finally(close);
  }

  #handleModels(exchange: Exchange): void {
    const { live } = this.#getLiveOrThrow(exchange);
    const models = live.models.map((id) => ({
      id,
      object: "model",
      created: 0,
      owned_by: "briarhill",
    }));
    exchange.sendJson(200, { object: "list", data: models });
  }

  #getLiveOrThrow(
    exchange: Exchange,
  ): { readonly contract: Contract; readonly live: LiveStructure } {
    const contract = getContractOrThrow(exchange, this.#contracts);
    const { live } = contract.structure;
    if (live === undefined) {
      throw new PermissionError(
        `the contract of "${contract.customer}" does not allow live calls`,
      );
    }
    return { contract, live };
  }

  async #runCall(
    exchange: Exchange,
    contract: Contract,
    call: CompletionCall,
  ): Promise<void> {
    if (!contract.isLiveModel(call.model)) {
      throw new PermissionError(
        `the contract of "${contract.customer}" does not allow model "${call.model}"`,
      );
    }
    const request = this.#buildRequest(contract, call);
    const chunks = this.#generator.generate(request, exchange.signal);
    const format = new CompletionFormat(
      call,
      request.request.requestId,
      this.#context.clock.getWallMs(),
    );
    const options = { exchange, call, format, clock: this.#context.clock };
    if (call.stream) {
      await sendStreamedResponse(options, chunks);
    } else {
      await sendFullResponse(options, chunks);
    }
  }

  #buildRequest(
    contract: Contract,
    call: CompletionCall,
  ): GenerationRequest {
    const live = contract.structure.live;
    const maxTokens = Math.min(call.maxTokens, live?.maxTokens ?? 0);
    return {
      customer: contract.customer,
      requestClass: "live",
      request: {
        requestId: randomUUID(),
        model: call.model,
        prompt: call.prompt,
        fromToken: 0,
        sampling: {
          temperature: call.temperature,
          topP: call.topP,
          maxTokens,
          stop: call.stop,
          ...(call.seed === undefined ? {} : { seed: call.seed }),
        },
        priority: live?.priority ?? 0,
      },
      deadlineMs: this.#context.clock.getMonotonicMs() +
        (live?.deadlineMs ?? 0),
      expectedTokens: maxTokens,
      excluded: [],
      resume: true,
    };
  }
}
