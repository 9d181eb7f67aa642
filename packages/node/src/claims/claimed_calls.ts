/**
 * Runs calls with an idempotency key at most once across all hosts. A call must
 * not be sent before its claim on the key has been won.
 * @module
 */
import {
  BriarhillError,
  RefusedError,
  RepeatedCallError,
} from "@briarhill/common/errors/errors";
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { ServiceResponse } from "@briarhill/ports/service/service";
import type {
  CallId,
  ClaimStructure,
} from "@briarhill/routing/claims/claim_structure";
import {
  decideRepeat,
  type RepeatDecision,
} from "@briarhill/routing/claims/repeat_decision";
import type { RetainedAnswer } from "@briarhill/routing/claims/call_table";
import { createHash, randomUUID } from "node:crypto";
import type { NodeContext } from "../node/node_context.ts";
import type { ClaimManager } from "./claim_manager.ts";
import { RetainedBody } from "./retained_body.ts";
import { RunningCalls } from "./running_calls.ts";

const RETRY_AFTER_MS = 2000;
const REPORT_POLL_INTERVAL_MS = 100;
const KEY_HASH_DIGITS = 32;

/** A call with an idempotency key, which runs at most once. */
export interface ClaimedCall {
  readonly customer: CustomerId;
  readonly service: string;
  readonly idempotencyKey: string;
  /** Monotonic time until which a repeat waits for the first call. */
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects; the call continues to run. */
  readonly caller: AbortSignal;
  /** Sends the call once; the outcome of an error states whether the call may have run. */
  readonly send: () => Promise<ServiceResponse>;
}

/** Runs calls with an idempotency key at most once across all hosts. */
export class ClaimedCalls {
  /** Claimed calls that are running on this host. */
  readonly running: RunningCalls = new RunningCalls();
  readonly #context: NodeContext;
  readonly #claimManager: ClaimManager;

  constructor(context: NodeContext, claimManager: ClaimManager) {
    this.#context = context;
    this.#claimManager = claimManager;
  }

  /**
   * Runs a call if no other call has claimed its key; otherwise replays the
   * response of the first call. Throws a `RefusedError` if the call was not run,
   * and a `RepeatedCallError` if the response of the first call is not available.
   *
   * @param call - The call.
   */
  async run(call: ClaimedCall): Promise<ServiceResponse> {
    const end = this.running.add(call.caller);
    try {
      return await this.#claimAndSend(call, end);
    } catch (error) {
      end();
      throw error;
    }
  }

  async #claimAndSend(
    call: ClaimedCall,
    end: () => void,
  ): Promise<ServiceResponse> {
    const keyHash = hashKey(call);
    let supersedes: CallId | undefined;
    while (true) {
      const callId = randomUUID();
      this.#claimManager.table.open(callId, this.#getNowMs());
      const verdict = await this.#claimManager.claim(callId, {
        keyHash,
        supersedes,
      });
      if (this.#claimManager.table.handle(callId, { type: verdict.kind })) {
        return await this.#send(callId, call, end);
      }
      if (verdict.kind === "repeated") {
        end();
        return toResponseOrThrow({ kind: "refuse", outcome: "unknown" });
      }
      if (verdict.kind !== "lost" || this.#getNowMs() >= call.deadlineMs) {
        throw createUnsettledError();
      }
      const decision = await this.#waitForFirst(verdict.owner, call);
      if (decision.kind !== "claim") {
        end();
        return toResponseOrThrow(decision);
      }
      supersedes = decision.supersedes;
    }
  }

  /** Sends the call, and reads its response to the end even if the caller disconnects. */
  async #send(
    callId: CallId,
    call: ClaimedCall,
    end: () => void,
  ): Promise<ServiceResponse> {
    const { table } = this.#claimManager;
    let response: ServiceResponse;
    try {
      response = await call.send();
    } catch (error) {
      table.handle(callId, { type: "broken", outcome: getOutcome(error) });
      throw error;
    }
    const { status, headers } = response;
    const body = new RetainedBody(response.body);
    body.run().then((retained) => {
      table.handle(callId, { type: "answered" });
      if (retained !== undefined) {
        table.setAnswer(callId, { status, headers, body: retained });
      }
    }, (error) => {
      this.#context.logger.error("claimed-call-broken", error);
      table.handle(callId, { type: "broken", outcome: "ran" });
    }).finally(end);
    return { status, headers, body: body.read() };
  }

  /** Polls the report on the first call until it has ended or the deadline has passed. */
  async #waitForFirst(
    owner: ClaimStructure,
    call: ClaimedCall,
  ): Promise<RepeatDecision> {
    while (true) {
      const report = await this.#claimManager.fetchReport(owner);
      const decision = decideRepeat(owner, report);
      if (decision.kind !== "wait") {
        return decision;
      }
      if (this.#getNowMs() >= call.deadlineMs) {
        return { kind: "refuse", outcome: "unknown" };
      }
      await this.#context.clock.sleep(REPORT_POLL_INTERVAL_MS);
    }
  }

  #getNowMs(): number {
    return this.#context.clock.getMonotonicMs();
  }
}

function hashKey(call: ClaimedCall): string {
  const { customer, service, idempotencyKey } = call;
  return createHash("sha256")
    .update(JSON.stringify([customer, service, idempotencyKey]))
    .digest("hex")
    .slice(0, KEY_HASH_DIGITS);
}

function getOutcome(error: unknown): "not-run" | "ran" | "unknown" {
  return error instanceof BriarhillError ? error.outcome : "unknown";
}

function createUnsettledError(): Error {
  return new RefusedError(
    "call not run: its idempotency key could not be claimed in the log in time",
    { props: { reason: "claim-unsettled", retryAfterMs: RETRY_AFTER_MS } },
  );
}

function toResponseOrThrow(
  decision: Exclude<RepeatDecision, { readonly kind: "claim" }>,
): ServiceResponse {
  if (decision.kind === "replay") {
    const { status, headers, body } = decision.answer;
    return { status, headers, body: readOnce({ status, headers, body }) };
  }
  const outcome = decision.kind === "refuse" ? decision.outcome : "unknown";
  throw new RepeatedCallError(
    outcome === "ran"
      ? "first call with this idempotency key was run, but its response is not retained"
      : "first call with this idempotency key may have been run; its outcome is unknown",
    { props: { outcome } },
  );
}

async function* readOnce(response: RetainedAnswer): AsyncIterable<Uint8Array> {
  yield response.body;
}
