/**
 * Generation of text on whichever engine is picked, for live calls and for
 * samples alike.
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

/** A generation and the terms on which it runs. */
export interface GenerationRequest {
  readonly customer: CustomerId;
  readonly requestClass: RequestClass;
  readonly request: GenerateRequest;
  /** The monotonic time after which the answer is of no use. */
  readonly deadlineMs: number;
  /** The tokens that the answer is expected to take. */
  readonly expectedTokens: number;
  /** Engines that must not be picked, such as that of a running duplicate. */
  readonly excluded: readonly EndpointId[];
  /** Whether the generator may go on at another engine by itself after a fault. */
  readonly resume: boolean;
}

/** Part of a generated text, and the engine that made it. */
export interface GenerationChunk extends GenerateChunk {
  readonly endpoint: EndpointId;
}

/** Runs generations under the limits that follow from the contracts. */
export abstract class Generator {
  /**
   * Generates text. Fails with a `RefusedError` when the request was not run,
   * and with a `PortError` or a `DeadlineError` when the answer is not whole.
   *
   * @param generation - What to generate, for whom.
   * @param signal - Cancels the generation, on its engine too.
   */
  abstract generate(
    generation: GenerationRequest,
    signal?: AbortSignal,
  ): AsyncIterable<GenerationChunk>;
}
