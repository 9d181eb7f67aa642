/**
 * Assembles a sample from the chunks that engines report. A sample is finished
 * only if the version of each of its tokens is known.
 * @module
 */
import type { WeightVersion } from "@briarhill/common/ids/ids";
import type { SampleFinish } from "./sample_structure.ts";
import { addSpan, type VersionSpan } from "./version_span.ts";

/** A part of a generated text, as reported by an engine. */
export interface SampleChunk {
  readonly fromToken: number;
  readonly tokens: readonly string[];
  /** The version that generated these tokens, if the engine reports one. */
  readonly version?: WeightVersion;
  /** Present only on the last chunk. */
  readonly finishReason?: SampleFinish;
}

/** The state of an assembly. */
export type AssemblyState = "open" | "finished" | "gap" | "unversioned";

/** The text assembled so far, from which generation can resume elsewhere. */
export interface AssembledText {
  readonly text: string;
  readonly tokens: number;
  readonly spans: readonly VersionSpan[];
  readonly finishReason: SampleFinish | undefined;
}

/** The beginning of a sample, from which another attempt resumes generation. */
export type SamplePrefix = Pick<AssembledText, "text" | "tokens" | "spans">;

/**
 * The text of one sample and the versions that generated it. Only the version
 * that a chunk reports counts, never the version that the engine was ordered to
 * load.
 */
export class SampleAssembly {
  #state: AssemblyState = "open";
  #texts: string[] = [];
  #tokens = 0;
  #spans: readonly VersionSpan[] = [];
  #finishReason: SampleFinish | undefined;

  /** Creates an assembly that is empty or starts with a prefix. */
  constructor(prefix?: SamplePrefix) {
    if (prefix !== undefined) {
      this.#texts = [prefix.text];
      this.#tokens = prefix.tokens;
      this.#spans = prefix.spans;
    }
  }

  /** Returns the state of the assembly. */
  getState(): AssemblyState {
    return this.#state;
  }

  /** Returns the number of tokens assembled. */
  getTokens(): number {
    return this.#tokens;
  }

  /** Returns the version spans of the tokens assembled. */
  getSpans(): readonly VersionSpan[] {
    return this.#spans;
  }

  /** Returns the text assembled so far. */
  getText(): AssembledText {
    return {
      text: this.#texts.join(""),
      tokens: this.#tokens,
      spans: this.#spans,
      finishReason: this.#finishReason,
    };
  }

  /**
   * Adds a chunk and returns the new state. Tokens that are already present are
   * dropped. A gap, or new tokens without a version, end the assembly without a
   * sample.
   *
   * @param chunk - The chunk that the engine reported.
   */
  addChunk(chunk: SampleChunk): AssemblyState {
    if (this.#state !== "open") {
      return this.#state;
    }
    if (chunk.fromToken > this.#tokens) {
      this.#state = "gap";
      return this.#state;
    }
    const newTokens = chunk.tokens.slice(this.#tokens - chunk.fromToken);
    if (newTokens.length > 0) {
      this.#addTokens(newTokens, chunk.version);
    }
    if (this.#state === "open" && chunk.finishReason !== undefined) {
      this.#finishReason = chunk.finishReason;
      this.#state = this.#tokens > 0 ? "finished" : "unversioned";
    }
    return this.#state;
  }

  #addTokens(
    tokens: readonly string[],
    version: WeightVersion | undefined,
  ): void {
    if (version === undefined) {
      this.#state = "unversioned";
      return;
    }
    const toToken = this.#tokens + tokens.length;
    this.#spans = addSpan(this.#spans, {
      fromToken: this.#tokens,
      toToken,
      version,
    });
    this.#texts.push(...tokens);
    this.#tokens = toToken;
  }
}
