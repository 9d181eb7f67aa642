/**
 * Selects the engines that one generation is sent to.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import { hashPrefix } from "@briarhill/routing/picking/prefix_hash";
import type { EnginePool } from "./engine_pool.ts";
import type { GenerationRequest } from "./generator.ts";

/** Picks the engines that one generation is sent to, engines not yet tried first. */
export class EngineSelector {
  /** Hash of the prompt's prefix. */
  readonly prefixHash: string;
  readonly #pool: EnginePool;
  readonly #generation: GenerationRequest;
  readonly #tried: EndpointId[] = [];

  constructor(pool: EnginePool, generation: GenerationRequest) {
    this.#pool = pool;
    this.#generation = generation;
    this.prefixHash = hashPrefix(generation.request.prompt);
  }

  /** Picks the next engine, or returns undefined if none can serve the generation. */
  pick(): EndpointId | undefined {
    const { excluded } = this.#generation;
    // An engine that has already failed is better than no engine.
    const endpoint = this.#pickExcluding([...excluded, ...this.#tried]) ??
      this.#pickExcluding(excluded);
    if (endpoint !== undefined) {
      this.#tried.push(endpoint);
    }
    return endpoint;
  }

  #pickExcluding(excluded: readonly EndpointId[]): EndpointId | undefined {
    const { request, requestClass } = this.#generation;
    return this.#pool.pick({
      model: request.model,
      requestClass,
      prefixHash: this.prefixHash,
      excluded,
      ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
    });
  }
}
