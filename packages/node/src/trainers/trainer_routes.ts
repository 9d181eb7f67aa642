/**
 * Handles the HTTP calls of trainers: submits, queries, pulls and cancels lots, and
 * announces weight versions.
 * @module
 */
import { InputError, PermissionError } from "@briarhill/common/errors/errors";
import type { Contract } from "@briarhill/contract/contract/contract";
import type { ContractSource } from "../configuration/contract_source.ts";
import { getContractOrThrow } from "../http/authentication.ts";
import type { Exchange } from "../http/exchange.ts";
import type { HttpListener } from "../http/http_listener.ts";
import type { WeightVersions } from "../weights/weight_versions.ts";
import type { LotName } from "./lot_name.ts";
import {
  LOT_BODY,
  MAX_PULL_SAMPLES,
  MAX_PULL_WAIT_MS,
  VERSION_BODY,
} from "./lot_schema.ts";
import type { Training } from "./training.ts";

const MAX_LOT_BYTES = 268_435_456;
const MAX_VERSION_BYTES = 4096;
const DEFAULT_DEADLINE_MS = 600_000;

/** The HTTP routes of trainers. */
export class TrainerRoutes {
  readonly #contracts: ContractSource;
  readonly #weights: WeightVersions;
  readonly #training: Training;

  constructor(options: {
    readonly contracts: ContractSource;
    readonly weights: WeightVersions;
    readonly training: Training;
  }) {
    this.#contracts = options.contracts;
    this.#weights = options.weights;
    this.#training = options.training;
  }

  /**
   * Registers the routes with a listener.
   *
   * @param listener - The listener that accepts trainers' calls.
   */
  register(listener: HttpListener): void {
    const lot = "/v1/rollouts/lots/:id";
    listener.addRoute("PUT", lot, (exchange) => this.#handlePut(exchange));
    listener.addRoute("GET", lot, (exchange) => this.#handleGet(exchange));
    listener.addRoute(
      "DELETE",
      lot,
      (exchange) => this.#handleDelete(exchange),
    );
    listener.addRoute(
      "GET",
      `${lot}/samples`,
      (exchange) => this.#handlePull(exchange),
    );
    listener.addRoute(
      "POST",
      "/v1/rollouts/models/:model/versions",
      (exchange) => this.#handleVersion(exchange),
    );
  }

  async #handlePut(exchange: Exchange): Promise<void> {
    const name = this.#getNameOrThrow(exchange);
    const body = await exchange.readJson(LOT_BODY, MAX_LOT_BYTES);
    const { deadlineMs = DEFAULT_DEADLINE_MS } = body;
    const structure = JSON.parse(
      JSON.stringify({ ...body, ...name, deadlineMs }),
    );
    await this.#training.registry.addLot(structure);
    exchange.sendJson(202, { id: name.id });
  }

  async #handleGet(exchange: Exchange): Promise<void> {
    const name = this.#getNameOrThrow(exchange);
    exchange.sendJson(200, await this.#training.lotHandler.getProgress(name));
  }

  async #handleDelete(exchange: Exchange): Promise<void> {
    const name = this.#getNameOrThrow(exchange);
    await this.#training.lotHandler.cancel(name);
    exchange.sendJson(202, { id: name.id });
  }

  async #handlePull(exchange: Exchange): Promise<void> {
    const pull = {
      ...this.#getNameOrThrow(exchange),
      cursor: getCount(exchange, "cursor", Number.MAX_SAFE_INTEGER),
      limit: Math.max(1, getCount(exchange, "limit", MAX_PULL_SAMPLES)),
      waitMs: getCount(exchange, "wait_ms", MAX_PULL_WAIT_MS),
    };
    const reply = await this.#training.lotHandler.pull(pull, exchange.signal);
    exchange.sendJson(200, reply);
  }

  async #handleVersion(exchange: Exchange): Promise<void> {
    const contract = this.#getTrainerOrThrow(exchange);
    const model = exchange.params["model"] ?? "";
    if (!contract.isTrainingModel(model)) {
      throw new PermissionError(
        `the contract of "${contract.customer}" does not allow training of "${model}"`,
      );
    }
    const { version } = await exchange.readJson(
      VERSION_BODY,
      MAX_VERSION_BYTES,
    );
    await this.#weights.announce(model, version);
    exchange.sendJson(202, { model, version });
  }

  #getTrainerOrThrow(exchange: Exchange): Contract {
    const contract = getContractOrThrow(exchange, this.#contracts);
    if (contract.structure.training === undefined) {
      throw new PermissionError(
        `the contract of "${contract.customer}" does not allow training`,
      );
    }
    this.#training.producer.recordActivity(contract.customer);
    return contract;
  }

  #getNameOrThrow(exchange: Exchange): LotName {
    const { customer } = this.#getTrainerOrThrow(exchange);
    return { customer, id: exchange.params["id"] ?? "" };
  }
}

function getCount(exchange: Exchange, name: string, max: number): number {
  const text = exchange.query.get(name) ?? "0";
  if (!/^\d{1,16}$/.test(text)) {
    throw new InputError(
      `"${name}" is "${text}", expected an integer of 1 to 16 digits`,
    );
  }
  return Math.min(max, Number(text));
}
