/**
 * Generates one sample on an engine that the generator picks.
 * @module
 */
import type { Contract } from "@briarhill/contract/contract/contract";
import type { SampleWork } from "@briarhill/rollout/assignment/sample_work";
import { SampleAssembly } from "@briarhill/rollout/samples/sample_assembly";
import {
  buildSampleId,
  type SampleStructure,
} from "@briarhill/rollout/samples/sample_structure";
import type { GenerationRequest, Generator } from "../generation/generator.ts";
import { computeSampleSeed } from "./sample_seed.ts";

/** Options of `SampleGeneration`. */
export interface SampleGenerationOptions {
  readonly contract: Contract;
  readonly work: SampleWork;
  /** Identifies the generation to engines; globally unique. */
  readonly requestId: string;
  readonly nowMs: number;
}

/** One generation of a sample, possibly resumed after a prefix. */
export class SampleGeneration {
  readonly assembly: SampleAssembly;
  readonly #options: SampleGenerationOptions;
  readonly #controller = new AbortController();

  constructor(options: SampleGenerationOptions) {
    this.assembly = new SampleAssembly(options.work.prefix);
    this.#options = options;
  }

  /** Cancels the generation, including the call at its engine. */
  cancel(): void {
    this.#controller.abort();
  }

  /** Returns whether the generation was cancelled. */
  isCancelled(): boolean {
    return this.#controller.signal.aborted;
  }

  /**
   * Runs the generation and returns the sample, or undefined if the chunks of the
   * engine can't be assembled into one.
   *
   * @param generator - Picks the engine and streams its chunks.
   */
  async run(generator: Generator): Promise<SampleStructure | undefined> {
    const { signal } = this.#controller;
    const stream = generator.generate(this.#buildRequest(), signal);
    let sample: SampleStructure | undefined;
    for await (const chunk of stream) {
      const state = this.assembly.addChunk(chunk);
      if (state === "finished") {
        // Reads to the end, where the generator records the call's duration and cost.
        sample = this.#buildSample();
      } else if (state !== "open") {
        this.cancel();
        return undefined;
      }
    }
    return sample;
  }

  #buildRequest(): GenerationRequest {
    const { contract, work, requestId, nowMs } = this.#options;
    const { model, sampling, deadlineMs, adapter } = work.lot;
    const { text, tokens } = this.assembly.getText();
    const seed = computeSampleSeed(work);
    return {
      customer: contract.customer,
      requestClass: "rollout",
      request: {
        requestId,
        model,
        ...(adapter === undefined ? {} : { adapter }),
        prompt: work.group.prompt,
        ...(tokens === 0 ? {} : { prefix: text }),
        fromToken: tokens,
        sampling: { ...sampling, seed },
        priority: contract.structure.training?.priority ?? 0,
      },
      deadlineMs: nowMs + deadlineMs,
      expectedTokens: work.expectedTokens || sampling.maxTokens,
      excluded: [],
      resume: true,
    };
  }

  #buildSample(): SampleStructure {
    const { lot, group, slot, attempt, indexInGroup } = this.#options.work;
    const { text, tokens, spans, finishReason } = this.assembly.getText();
    return {
      id: buildSampleId(lot.id, { slot, attempt }),
      lot: lot.id,
      slot,
      attempt,
      group: group.id,
      indexInGroup,
      text,
      tokens,
      finishReason: finishReason ?? "stop",
      spans,
    };
  }
}
