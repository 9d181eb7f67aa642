/**
 * The port to a model engine.
 * @module
 */
import type {
  EndpointId,
  Incarnation,
  ModelName,
  RequestId,
  WeightVersion,
} from "@briarhill/common/ids/ids";

/** How tokens are drawn. */
export interface SamplingSettings {
  readonly temperature: number;
  readonly topP: number;
  readonly maxTokens: number;
  readonly seed?: number;
  readonly stop?: readonly string[];
}

/** A request for generated text. */
export interface GenerateRequest {
  /** Names the stream; a resumed stream has the same id. */
  readonly requestId: RequestId;
  readonly model: ModelName;
  readonly adapter?: string;
  readonly prompt: string;
  /** Text that was generated before, elsewhere or earlier; the engine continues after it. */
  readonly prefix?: string;
  /** The offset of the first token wanted: 0 for a new stream, more for a resumed one. */
  readonly fromToken: number;
  readonly sampling: SamplingSettings;
  /** Higher goes first; engines honour it. */
  readonly priority: number;
  /** A reference to an exported KV cache to start from. */
  readonly kvReference?: string;
}

/** Part of a generated text. */
export interface GenerateChunk {
  readonly requestId: RequestId;
  /** The offset of the chunk's first token in the stream. */
  readonly fromToken: number;
  readonly tokens: readonly string[];
  /** The version of the weights that produced these tokens, where the engine reports one. */
  readonly version?: WeightVersion;
  /** Present on the last chunk alone. */
  readonly finishReason?: "stop" | "length";
}

/** What an engine reports of itself; reports lag. */
export interface LoadReport {
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  /** The engine's wall time of the measurement. */
  readonly measuredAtMs: number;
  readonly running: number;
  readonly queued: number;
  /** The most requests that run at once. */
  readonly slots: number;
  /** The share of the KV cache in use, from 0 to 1. */
  readonly kvUsed: number;
  readonly tokensPerSecond: number;
  readonly leaving: boolean;
}

/** The weights that an engine serves and those it holds ready. */
export interface EngineState {
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  readonly role: "mixed" | "live" | "rollout";
  readonly models: readonly EngineModelState[];
  readonly leaving: boolean;
}

/** The state of one model on an engine. */
export interface EngineModelState {
  readonly model: ModelName;
  readonly version: WeightVersion;
  /** A version that has been fetched but does not serve yet. */
  readonly loaded?: WeightVersion;
  readonly adapters: readonly string[];
}

/** An order to an engine: always an absolute wanted state. */
export type EngineOrder =
  | {
    readonly kind: "load";
    readonly model: ModelName;
    readonly version: WeightVersion;
    readonly fencing: number;
  }
  | {
    readonly kind: "switch";
    readonly model: ModelName;
    readonly version: WeightVersion;
    readonly fencing: number;
  }
  | {
    readonly kind: "role";
    readonly role: EngineState["role"];
    readonly fencing: number;
  };

/** A change of an engine's prompt cache; events come late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  /** A hash of the prompt prefix. */
  readonly prefixHash: string;
}

/** A model engine, reached over the network. */
export abstract class Engine {
  /**
   * Generates text. The iteration ends after the chunk with a finish reason; ending earlier is a `PortError`
   * with fault "incomplete".
   *
   * @param request - What to generate.
   * @param signal - Cancels the generation on the engine too.
   */
  abstract generate(
    request: GenerateRequest,
    signal?: AbortSignal,
  ): AsyncIterable<GenerateChunk>;

  /**
   * Cancels a generation; cancelling one that is unknown or finished does nothing.
   *
   * @param requestId - The generation.
   */
  abstract cancel(requestId: RequestId): Promise<void>;

  /** Returns the newest load report. */
  abstract getLoad(): Promise<LoadReport>;

  /** Returns the engine's state. */
  abstract getState(): Promise<EngineState>;

  /**
   * Gives an order; fails with a `FencedError` when the engine has seen a higher fencing number.
   *
   * @param order - The wanted state.
   */
  abstract order(order: EngineOrder): Promise<EngineState>;

  /**
   * Returns cache events after a sequence number; there may be gaps.
   *
   * @param after - The last sequence number that is known.
   */
  abstract getCacheEvents(after: number): Promise<readonly CacheEvent[]>;

  /**
   * Exports the KV cache of a generation and returns a reference that other engines can start from.
   *
   * @param requestId - The generation.
   */
  abstract exportKv(requestId: RequestId): Promise<string>;
}
