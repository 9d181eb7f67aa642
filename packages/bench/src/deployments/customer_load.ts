/**
 * Generates the load of one customer of a deployment and records the outcome of
 * each call.
 * @module
 */
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import type { ContractStructure } from "@briarhill/contract/contract/contract_structure";
import { type AnswerFault, checkAnswer } from "../caller/answer_check.ts";
import { LiveCaller } from "../caller/live_caller.ts";

const LIVE_TOKENS = 48;
const MAX_SEED = 1_000_000;

/** The outcome of one live call. */
export interface LiveRecord {
  readonly status: number;
  readonly durationMs: number;
  readonly fault: AnswerFault;
}

/** The outcome of one service call. */
export interface ServiceRecord {
  readonly service: string;
  readonly key: string;
  readonly status: number;
}

/** Options of {@link CustomerLoad}. */
export interface CustomerLoadOptions {
  readonly contract: ContractStructure;
  readonly addresses: readonly string[];
  readonly clock: Clock;
  readonly random: SeededRandom;
  /** The mean pause between two calls, in milliseconds. */
  readonly pauseMs: number;
  readonly getVersions: (model: string) => readonly number[];
}

/** Generates the load of one customer and records each outcome. */
export class CustomerLoad {
  readonly live: LiveRecord[] = [];
  readonly services: ServiceRecord[] = [];
  readonly #options: CustomerLoadOptions;
  readonly #caller: LiveCaller;

  constructor(options: CustomerLoadOptions) {
    this.#options = options;
    this.#caller = new LiveCaller(`${options.contract.customer}-example-key`);
  }

  /**
   * Makes calls until the signal aborts; a call that has started is completed.
   *
   * @param signal - Stops the load when it aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, pauseMs, contract } = this.#options;
    const { live, services } = contract;
    while (!signal.aborted) {
      await clock.sleep(random.getExponential(pauseMs), signal);
      const model = random.getItem(live?.models ?? []);
      if (model !== undefined) {
        await this.#runLiveCall(model);
      }
      const service = random.getItem(services);
      if (service !== undefined) {
        await this.#runServiceCall(service.name);
      }
    }
  }

  async #runLiveCall(model: string): Promise<void> {
    const { clock, random, getVersions } = this.#options;
    const seed = random.getInteger(MAX_SEED);
    const prompt = `${this.#options.contract.customer} asks ${seed}: `;
    const startMs = clock.getMonotonicMs();
    const response = await this.#caller.stream(this.#getAddress(), {
      model,
      prompt,
      maxTokens: LIVE_TOKENS,
      seed,
    });
    const durationMs = clock.getMonotonicMs() - startMs;
    const versions = getVersions(model);
    this.live.push({
      status: response.status,
      durationMs,
      fault: response.status === 200
        ? checkAnswer(response, { prompt, seed, versions })
        : undefined,
    });
  }

  async #runServiceCall(service: string): Promise<void> {
    const { random, contract } = this.#options;
    const key = `${contract.customer}-${this.services.length}-${
      random.getInteger(MAX_SEED)
    }`;
    const response = await this.#caller.callService(this.#getAddress(), {
      service,
      path: "/entries",
      idempotencyKey: key,
      body: key,
    });
    this.services.push({ service, key, status: response.status });
  }

  #getAddress(): string {
    return this.#options.random.getItem(this.#options.addresses) ?? "";
  }
}
