/**
 * Interface for generating text on an engine that the generator picks, for live
 * calls and for samples.
 * @module
 */
import type {
  CustomerId,
  EndpointId,
  RequestClass,
} from "@briarhill/common/ids/ids";
import type {
  GenerateChunk,
  GenerateRequest,
} from "@briarhill/ports/engine/engine";

/** A generation, with its deadline and constraints. */
export interface GenerationRequest {
  readonly customer: CustomerId;
  readonly requestClass: RequestClass;
  readonly request: GenerateRequest;
  /** Monotonic time after which the response is useless to the caller. */
  readonly deadlineMs: number;
  /** Expected number of tokens of the response. */
  readonly expectedTokens: number;
  /** Engines that must not be picked, such as the engine of a running duplicate. */
  readonly excluded: readonly EndpointId[];
  /** Whether the generator itself may resume the generation at another engine after a fault. */
  readonly resume: boolean;
}

/** Chunk of a generated text, with the engine that generated it. */
export interface GenerationChunk extends GenerateChunk {
  readonly endpoint: EndpointId;
}

/** Runs generations within the limits that the contracts set. */
export abstract class Generator {
  /**
   * Generates text. Throws a `RefusedError` if the request was not run, and a
   * `PortError` or a `DeadlineError` if the response is incomplete.
   *
   * @param generation - The generation.
   * @param signal - Cancels the generation, also at its engine.
   */
  abstract generate(
    generation: GenerationRequest,
    signal?: AbortSignal,
  ): AsyncIterable<GenerationChunk>;
}
