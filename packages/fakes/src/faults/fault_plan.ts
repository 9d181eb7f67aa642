/**
 * The faults that a stand-in still has to bring about.
 * @module
 */
import {
  PortError,
  type PortFault,
  StateError,
} from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import { type Fault, isAnswerFault, isDisorder } from "./fault.ts";
import { HeldAnswers } from "./held_answers.ts";

const RETRY_AFTER_MS = 50;
const NOT_RUN_FAULTS: readonly string[] = ["refused", "rejected"];

interface PlannedFault {
  readonly fault: Fault;
  skip: number;
  times: number;
}

/** The faults still to come of one stand-in. */
export class FaultPlan {
  /** The answers that "late" and "reordered" faults hold back. */
  readonly held: HeldAnswers = new HeldAnswers();
  readonly #port: string;
  readonly #clock: Clock;
  #planned: readonly PlannedFault[] = [];

  constructor(port: string, clock: Clock) {
    this.#port = port;
    this.#clock = clock;
  }

  /**
   * Adds a fault; faults of one operation come in the order of their adding.
   *
   * @param fault - The fault.
   */
  add(fault: Fault): void {
    const planned = { fault, skip: fault.skip ?? 0, times: fault.times ?? 1 };
    this.#planned = [...this.#planned, planned];
  }

  /** Drops all faults still to come. */
  clear(): void {
    this.#planned = [];
  }

  /**
   * Returns the fault that hits this call, if any.
   *
   * @param operation - The method of the port that is called.
   */
  draw(operation: string): Fault | undefined {
    const planned = this.#find(operation);
    if (planned === undefined) {
      return undefined;
    }
    if (planned.skip > 0) {
      planned.skip--;
      return undefined;
    }
    planned.times--;
    if (planned.times <= 0) {
      this.#planned = this.#planned.filter((other) => other !== planned);
    }
    return planned.fault;
  }

  /**
   * Returns the fault that hits this call if it only changes when and how often
   * the answer is sent.
   *
   * @param operation - The method of the port that is called.
   */
  drawAnswerFault(operation: string): Fault | undefined {
    const next = this.#find(operation)?.fault;
    return next !== undefined && isAnswerFault(next)
      ? this.draw(operation)
      : undefined;
  }

  /**
   * Runs an operation with the fault that hits it, if any.
   *
   * @param operation - The method of the port that is called.
   * @param effect - The operation itself; it gets a fault that disorders the parts of its answer.
   */
  async run<T>(
    operation: string,
    effect: (disorder?: Fault) => T | Promise<T>,
  ): Promise<T> {
    const fault = this.draw(operation);
    if (fault === undefined) {
      return await effect();
    }
    if (isDisorder(fault)) {
      return await effect(fault);
    }
    if (isAnswerFault(fault)) {
      const answer = await effect();
      await this.applyAnswerFault(fault);
      return answer;
    }
    if (fault.when === "after") {
      const result = await effect();
      await this.#apply(fault);
      return result;
    }
    await this.#apply(fault);
    return await effect();
  }

  /**
   * Returns the error by which a caller sees a fault.
   *
   * @param fault - The fault.
   * @param started - Whether the caller has seen part of the answer.
   */
  createError(fault: Fault, started: boolean): PortError {
    const outcome: Outcome = getOutcome(fault, started);
    return new PortError(`${this.#port} "${fault.operation}": ${fault.kind}`, {
      props: {
        port: this.#port,
        operation: fault.operation,
        fault: toPortFault(fault),
        outcome,
        retryAfterMs: fault.kind === "rejected" ? RETRY_AFTER_MS : 0,
      },
    });
  }

  /**
   * Applies a fault that keeps an answer back, for a caller in the same process.
   *
   * @param fault - The fault.
   */
  async applyAnswerFault(fault: Fault): Promise<void> {
    if (fault.kind === "late") {
      throw this.createError(fault, false);
    }
    if (fault.kind === "reordered") {
      await this.held.wait();
    }
  }

  #find(operation: string): PlannedFault | undefined {
    return this.#planned.find(({ fault }) => fault.operation === operation);
  }

  async #apply(fault: Fault): Promise<void> {
    if (fault.delayMs !== undefined) {
      await this.#clock.sleep(fault.delayMs);
    }
    if (fault.kind !== "slow") {
      throw this.createError(fault, false);
    }
  }
}

function getOutcome(fault: Fault, started: boolean): Outcome {
  if (started) {
    return "ran";
  }
  const isBefore = fault.when !== "after";
  return isBefore && NOT_RUN_FAULTS.includes(fault.kind)
    ? "not-run"
    : "unknown";
}

function toPortFault(fault: Fault): PortFault {
  if (fault.kind === "late") {
    return "silent";
  }
  if (
    fault.kind === "slow" || fault.kind === "repeated" ||
    fault.kind === "reordered"
  ) {
    throw new StateError(`"${fault.kind}" is a fault without an error`);
  }
  return fault.kind;
}
