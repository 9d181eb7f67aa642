/**
 * Runs the training steps of one model of a deployment, each followed by an
 * announcement of new weights.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { ContractStructure } from "@briarhill/contract/contract/contract_structure";
import { checkStep, type StepVerdict } from "../trainer/step_check.ts";
import {
  type ReceivedSample,
  type StepRecord,
  type SubmittedLot,
  TrainerClient,
} from "../trainer/trainer_client.ts";
import { DEFAULT_OPTIONS, type LotSize } from "./deployment_options.ts";

const TRAINING_MS = 500;
const FIRST_VERSION = 1;

/** The staleness of a sample when its trainer received it. */
export interface SampleStaleness {
  readonly versionsBehind: number;
  /** The time since newer weights were announced; 0 if there were none. */
  readonly outdatedMs: number;
}

/** The record of one step and the result of its check. */
export interface JudgedStep {
  readonly model: string;
  readonly record: StepRecord;
  readonly verdict: StepVerdict;
}

/** Options of {@link TrainerLoad}. */
export interface TrainerLoadOptions {
  readonly contract: ContractStructure;
  readonly model: string;
  readonly lot?: LotSize;
  readonly addresses: readonly string[];
  readonly clock: Clock;
  /** Adds a version to the weight store. */
  readonly addVersion: (model: string, version: number) => void;
  /** Called with the address that sent the first chunk of a samples response. */
  readonly onSamplesPart?: (address: string) => void;
}

/**
 * Runs the trainer of one model. It submits the next lot before it trains on
 * the current one, so that generation and training overlap.
 */
export class TrainerLoad {
  readonly steps: JudgedStep[] = [];
  /** The staleness of all samples, in the order of their arrival. */
  readonly staleness: SampleStaleness[] = [];
  readonly #options: TrainerLoadOptions;
  readonly #client: TrainerClient;
  /** The monotonic time at which each version was announced. */
  readonly #announcedMs = new Map<number, number>();
  #version = FIRST_VERSION;

  constructor(options: TrainerLoadOptions) {
    this.#options = options;
    this.#client = new TrainerClient({
      addresses: options.addresses,
      key: `${options.contract.customer}-example-key`,
      clock: options.clock,
      onSamplesPart: options.onSamplesPart,
    });
  }

  /**
   * Runs steps until the signal aborts; submitted lots are completed.
   *
   * @param signal - Stops the load when it aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    let submitted: SubmittedLot | undefined = await this.#sendLot(1);
    for (let step = 2; submitted !== undefined; step++) {
      await this.#pullStep(submitted);
      submitted = signal.aborted ? undefined : await this.#sendLot(step);
      await this.#runTraining();
    }
  }

  #sendLot(step: number): Promise<SubmittedLot> {
    const { model, lot = DEFAULT_OPTIONS.lot } = this.#options;
    return this.#client.sendLot({
      id: `${model}-step-${step}`,
      step,
      model,
      ...lot,
    });
  }

  async #pullStep(submitted: SubmittedLot): Promise<void> {
    const { model, contract } = this.#options;
    let measuredCount = 0;
    const record = await this.#client.pullStep(submitted, (received) => {
      for (const sample of received.slice(measuredCount)) {
        this.staleness.push(this.#measureStaleness(sample));
      }
      measuredCount = received.length;
      return Promise.resolve();
    });
    const verdict = checkStep(record.samples, {
      size: submitted.lot.groups * submitted.lot.samplesPerGroup,
      maxVersionsBehind: contract.training?.staleness.maxVersionsBehind ?? 0,
    });
    this.steps.push({ model, record, verdict });
  }

  #measureStaleness(sample: ReceivedSample): SampleStaleness {
    const oldest = Math.min(...sample.spans.map((span) => span.version));
    const nowMs = this.#options.clock.getMonotonicMs();
    return {
      versionsBehind: Math.max(0, this.#version - oldest),
      outdatedMs: nowMs - (this.#announcedMs.get(oldest + 1) ?? nowMs),
    };
  }

  async #runTraining(): Promise<void> {
    const { clock, model, addVersion } = this.#options;
    await clock.sleep(TRAINING_MS);
    const version = this.#version + 1;
    addVersion(model, version);
    await this.#client.announce(model, version);
    this.#version = version;
    this.#announcedMs.set(version, clock.getMonotonicMs());
  }
}
