/**
 * Calls that run at most once over all hosts.
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
import type { ClaimKeeper } from "./claim_keeper.ts";
import { KeptBody } from "./kept_body.ts";
import { RunningCalls } from "./running_calls.ts";

const RETRY_AFTER_MS = 2000;
const ASK_AGAIN_MS = 100;
const KEY_HASH_DIGITS = 32;

/** A call that runs at most once. */
export interface ClaimedCall {
  readonly customer: CustomerId;
  readonly service: string;
  readonly idempotencyKey: string;
  /** The monotonic time up to which a repeat waits for the first call. */
  readonly deadlineMs: number;
  /** Aborted when the caller leaves; the call runs on. */
  readonly caller: AbortSignal;
  /** Sends the call once; an error says by its outcome whether it may have run. */
  readonly send: () => Promise<ServiceResponse>;
}

/** Calls that run at most once over all hosts. */
export class ClaimedCalls {
  /** The calls that run here. */
  readonly running: RunningCalls = new RunningCalls();
  readonly #context: NodeContext;
  readonly #keeper: ClaimKeeper;

  constructor(context: NodeContext, keeper: ClaimKeeper) {
    this.#context = context;
    this.#keeper = keeper;
  }

  /**
   * Runs a call if no other has claimed its key, else answers for the first.
   * Fails with a `RefusedError` when it was not run, and with a
   * `RepeatedCallError` when the first call can't be answered for.
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
      this.#keeper.table.open(callId, this.#getNowMs());
      const verdict = await this.#keeper.claim(callId, { keyHash, supersedes });
      if (this.#keeper.table.handle(callId, { type: verdict.kind })) {
        return await this.#send(callId, call, end);
      }
      if (verdict.kind === "repeated") {
        end();
        return toResponseOrThrow({ kind: "refuse", outcome: "unknown" });
      }
      if (verdict.kind !== "lost" || this.#getNowMs() >= call.deadlineMs) {
        throw createUnsettled();
      }
      const decision = await this.#waitForFirst(verdict.owner, call);
      if (decision.kind !== "claim") {
        end();
        return toResponseOrThrow(decision);
      }
      supersedes = decision.supersedes;
    }
  }

  /** Sends the call, and reads its answer to the end even if the caller leaves. */
  async #send(
    callId: CallId,
    call: ClaimedCall,
    end: () => void,
  ): Promise<ServiceResponse> {
    const { table } = this.#keeper;
    let response: ServiceResponse;
    try {
      response = await call.send();
    } catch (error) {
      table.handle(callId, { type: "broken", outcome: getOutcome(error) });
      throw error;
    }
    const { status, headers } = response;
    const body = new KeptBody(response.body);
    body.run().then((whole) => {
      table.handle(callId, { type: "answered" });
      if (whole !== undefined) {
        table.setAnswer(callId, { status, headers, body: whole });
      }
    }, (error) => {
      this.#context.logger.error("claimed-call-broken", error);
      table.handle(callId, { type: "broken", outcome: "ran" });
    }).finally(end);
    return { status, headers, body: body.read() };
  }

  /** Asks for the first call until it has ended or the deadline passes. */
  async #waitForFirst(
    owner: ClaimStructure,
    call: ClaimedCall,
  ): Promise<RepeatDecision> {
    while (true) {
      const report = await this.#keeper.fetchReport(owner);
      const decision = decideRepeat(owner, report);
      if (decision.kind !== "wait") {
        return decision;
      }
      if (this.#getNowMs() >= call.deadlineMs) {
        return { kind: "refuse", outcome: "unknown" };
      }
      await this.#context.clock.sleep(ASK_AGAIN_MS);
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

function createUnsettled(): Error {
  return new RefusedError(
    "the call was not run: its key could not be claimed in the log in time",
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
      ? "the first call with this key was run; its answer is no longer kept"
      : "the first call with this key may have been run; its host can't tell",
    { props: { outcome } },
  );
}

async function* readOnce(answer: RetainedAnswer): AsyncIterable<Uint8Array> {
  yield answer.body;
}
