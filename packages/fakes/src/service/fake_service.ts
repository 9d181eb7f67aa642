/**
 * A stand-in for a plain service that records each execution.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import {
  Service,
  type ServiceLoad,
  type ServiceRequest,
  type ServiceResponse,
} from "@briarhill/ports/service/service";
import { FaultPlan } from "../faults/fault_plan.ts";

const DEFAULT_SLOTS = 32;

/** One execution of a call. */
export interface Execution {
  /** The call's `Idempotency-Key`; empty where it has none. */
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly startedAtMs: number;
  /** Whether the service had said that it is leaving. */
  readonly leaving: boolean;
}

/** How a {@link FakeService} behaves. */
export interface FakeServiceSettings {
  readonly slots: number;
  /** How long an execution takes. */
  readonly delayMs: number;
}

/** A stand-in for a plain service: it answers with the call it got and its number. */
export class FakeService extends Service {
  readonly faults: FaultPlan;
  readonly #clock: Clock;
  readonly #settings: FakeServiceSettings;
  readonly #executions: Execution[] = [];
  #running = 0;
  #leaving = false;

  constructor(clock: Clock, settings: Partial<FakeServiceSettings> = {}) {
    super();
    this.#clock = clock;
    this.#settings = { slots: DEFAULT_SLOTS, delayMs: 0, ...settings };
    this.faults = new FaultPlan("service", clock);
  }

  /** Returns all executions, in the order of their start. */
  getExecutions(): readonly Execution[] {
    return this.#executions;
  }

  /** Says from now on that the service is leaving. */
  setLeaving(): void {
    this.#leaving = true;
  }

  override async call(request: ServiceRequest): Promise<ServiceResponse> {
    const body = await readText(request.body);
    return await this.faults.run("call", () => this.#runCall(request, body));
  }

  override getLoad(): Promise<ServiceLoad> {
    return this.faults.run("getLoad", () => ({
      running: this.#running,
      slots: this.#settings.slots,
      leaving: this.#leaving,
    }));
  }

  async #runCall(
    request: ServiceRequest,
    body: string,
  ): Promise<ServiceResponse> {
    const key = request.headers["idempotency-key"] ?? "";
    const { method, path } = request;
    const startedAtMs = this.#clock.getMonotonicMs();
    const leaving = this.#leaving;
    const number = this.#executions.push(
      { key, method, path, body, startedAtMs, leaving },
    );
    this.#running++;
    await this.#clock.sleep(this.#settings.delayMs);
    this.#running--;
    const answer = JSON.stringify({ key, method, path, body, number });
    return {
      status: 200,
      headers: { "content-type": "application/json" },
      body: readOnce(Buffer.from(answer)),
    };
  }
}

async function* readOnce(bytes: Uint8Array): AsyncIterable<Uint8Array> {
  yield bytes;
}

async function readText(
  body: AsyncIterable<Uint8Array> | undefined,
): Promise<string> {
  const parts: Uint8Array[] = [];
  for await (const part of body ?? []) {
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}
