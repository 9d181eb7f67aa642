/**
 * Holds requests until admission starts, refuses or cancels them, and executes
 * the commands of admission.
 * @module
 */
import { RefusedError } from "@briarhill/common/errors/errors";
import type { RequestId } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import { Admission } from "@briarhill/routing/admission/admission";
import type {
  AdmissionCommand,
  AdmissionLimits,
  AdmissionRequest,
  CustomerUsage,
} from "@briarhill/routing/admission/admission_structure";

interface OpenRequest {
  resolve: (() => void) | undefined;
  reject: ((error: unknown) => void) | undefined;
  readonly onCancel: () => void;
}

/** Holds requests until admission lets them start, refuses them or cancels them. */
export class AdmissionGate {
  readonly #clock: Clock;
  readonly #admission = new Admission();
  readonly #open = new Map<RequestId, OpenRequest>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns the usage of each customer. */
  getUsage(): readonly CustomerUsage[] {
    return this.#admission.getUsage();
  }

  /**
   * Sets the limits of admission.
   *
   * @param limits - The limits that apply on this host.
   */
  setLimits(limits: AdmissionLimits): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#apply(this.#admission.setLimits(limits, nowMs));
  }

  /**
   * Resolves once the request may start; rejects with a `RefusedError` if it is refused.
   *
   * @param request - The request.
   * @param onCancel - Called if its slot is reclaimed after the request has started.
   */
  async acquire(
    request: AdmissionRequest,
    onCancel: () => void,
  ): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#open.set(request.id, { resolve, reject, onCancel });
      const nowMs = this.#clock.getMonotonicMs();
      this.#apply(this.#admission.admit(request, nowMs));
    });
  }

  /**
   * Releases the slot of a request or its place in the queue. A queued request
   * is refused with the reason "cancelled".
   *
   * @param id - The request.
   * @param cost - The token-seconds that the request used, if known.
   */
  release(id: RequestId, cost?: number): void {
    const open = this.#open.get(id);
    this.#open.delete(id);
    open?.reject?.(createRefusal({ reason: "cancelled", retryAfterMs: 0 }));
    const nowMs = this.#clock.getMonotonicMs();
    const options = { nowMs, ...(cost === undefined ? {} : { cost }) };
    this.#apply(this.#admission.release(id, options));
  }

  /** Refuses requests that can no longer meet their deadline, and reclaims lent slots. */
  advance(): void {
    this.#apply(this.#admission.advance(this.#clock.getMonotonicMs()));
  }

  #apply(commands: readonly AdmissionCommand[]): void {
    for (const command of commands) {
      const open = this.#open.get(command.id);
      if (open === undefined) {
        continue;
      }
      if (command.kind === "start") {
        open.resolve?.();
        open.resolve = undefined;
        open.reject = undefined;
      } else if (command.kind === "cancel") {
        this.#open.delete(command.id);
        open.onCancel();
      } else {
        this.#open.delete(command.id);
        open.reject?.(createRefusal(command));
      }
    }
  }
}

function createRefusal(
  refusal: { readonly reason: string; readonly retryAfterMs: number },
): RefusedError {
  return new RefusedError(`request not run: ${refusal.reason}`, {
    props: { reason: refusal.reason, retryAfterMs: refusal.retryAfterMs },
  });
}
