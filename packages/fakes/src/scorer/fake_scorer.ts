/**
 * A stand-in for a scoring service.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import {
  type Score,
  Scorer,
  type ScoreRequest,
} from "@briarhill/ports/scorer/scorer";
import { hashText } from "../engine/fake_text.ts";
import { FaultPlan } from "../faults/fault_plan.ts";

const SCORE_STEPS = 1000;

/** A stand-in for a scoring service: the score follows from the text alone. */
export class FakeScorer extends Scorer {
  readonly faults: FaultPlan;
  readonly #scored = new Map<string, number>();

  constructor(clock: Clock) {
    super();
    this.faults = new FaultPlan("scorer", clock);
  }

  /** Returns how often each sample was scored. */
  getCounts(): ReadonlyMap<string, number> {
    return this.#scored;
  }

  override score(request: ScoreRequest): Promise<Score> {
    return this.faults.run("score", () => {
      const { sampleId, text } = request;
      this.#scored.set(sampleId, (this.#scored.get(sampleId) ?? 0) + 1);
      return { sampleId, score: hashText(text) % SCORE_STEPS / SCORE_STEPS };
    });
  }
}
