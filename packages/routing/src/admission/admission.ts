/**
 * Admission control for requests to the engines. Decisions depend only on the
 * limits derived from the contracts.
 * @module
 */
import type { RequestId } from "@briarhill/common/ids/ids";
import type {
  AdmissionCommand,
  AdmissionLimits,
  AdmissionRequest,
  CustomerUsage,
  RefusalReason,
} from "./admission_structure.ts";
import type { CustomerAccount } from "./customer_account.ts";
import type { Flow } from "./flow.ts";
import { buildRefusal, findRefusal, getFlow } from "./refusals.ts";
import { SlotRegistry } from "./slot_registry.ts";

/** Fraction of `takeBackMs` that may pass before training is cancelled to free a slot. */
const GRACE_FRACTION = 0.5;

/**
 * Assigns engine slots to requests, with start-time fair queueing of customers
 * over token-seconds. A live call starts at once within its live floor, or
 * displaces training: the engines preempt training by priority, and it is
 * cancelled if the displacement lasts. Training never uses a live floor.
 */
export class Admission {
  readonly #slots = new SlotRegistry();
  readonly #requests = new Map<RequestId, AdmissionRequest>();
  #virtualTime = 0;
  #overcommittedSinceMs: number | undefined;

  /** Returns the usage of each customer. */
  getUsage(): readonly CustomerUsage[] {
    return this.#slots.listAccounts().map((account) => account.getUsage());
  }

  /**
   * Sets the limits. Refuses queued requests of customers without limits;
   * running requests continue.
   *
   * @param limits - The new limits.
   * @param nowMs - The current time.
   */
  setLimits(
    limits: AdmissionLimits,
    nowMs: number,
  ): readonly AdmissionCommand[] {
    const commands: AdmissionCommand[] = [];
    for (const account of this.#slots.setLimits(limits)) {
      for (const flow of [account.live, account.rollouts]) {
        this.#refuseQueued(flow, { commands, reason: "no-contract" });
      }
    }
    return [...commands, ...this.#startReady(nowMs)];
  }

  /**
   * Admits a request: starts, queues or refuses it immediately.
   *
   * @param request - The request.
   * @param nowMs - The current time.
   */
  admit(
    request: AdmissionRequest,
    nowMs: number,
  ): readonly AdmissionCommand[] {
    const account = this.#slots.getAccount(request.customer);
    if (account === undefined) {
      return [buildRefusal(request.id, { reason: "no-contract" })];
    }
    if (this.#slots.totalSlots < 1) {
      return [buildRefusal(request.id, { reason: "no-capacity" })];
    }
    const virtualTime = this.#virtualTime;
    getFlow(account, request).addQueued(request, { virtualTime, nowMs });
    this.#requests.set(request.id, request);
    const commands = this.#startReady(nowMs);
    const refusal = findRefusal(account, { request, nowMs });
    if (refusal !== undefined) {
      this.#removeQueued(getFlow(account, request), request.id);
      commands.push(refusal);
    }
    return commands;
  }

  /**
   * Frees the slot or the queue entry of a request that ended or was
   * abandoned. Ignores unknown requests.
   *
   * @param id - The request.
   * @param options - The current time, and the actual token-seconds if known.
   */
  release(
    id: RequestId,
    options: { readonly nowMs: number; readonly cost?: number },
  ): readonly AdmissionCommand[] {
    const request = this.#requests.get(id);
    const account = request && this.#slots.getAccount(request.customer);
    this.#requests.delete(id);
    if (request === undefined || account === undefined) {
      return [];
    }
    const flow = getFlow(account, request);
    account.addUsage(
      flow.finishRunning(id, { cost: options.cost, weight: account.weight }) ??
        0,
    );
    this.#removeQueued(flow, id);
    return this.#startReady(options.nowMs);
  }

  /**
   * Refuses queued requests that are past their deadline, starts those that
   * may start, and cancels training to reclaim lent or displaced slots.
   *
   * @param nowMs - The current time.
   */
  advance(nowMs: number): readonly AdmissionCommand[] {
    const commands: AdmissionCommand[] = [];
    for (const { live, rollouts } of this.#slots.listAccounts()) {
      for (const flow of [live, rollouts]) {
        this.#refuseQueued(flow, { commands, reason: "deadline", nowMs });
      }
    }
    commands.push(...this.#startReady(nowMs));
    this.#cancelExcess({ nowMs, commands });
    for (const account of this.#slots.listAccounts()) {
      this.#cancelBorrowed(account, { nowMs, commands });
    }
    return commands;
  }

  /** Starts all requests that may start now: live calls first, then training. */
  #startReady(nowMs: number): AdmissionCommand[] {
    const commands: AdmissionCommand[] = [];
    for (const kind of ["live", "rollouts"] as const) {
      let next = this.#findNext(kind);
      while (next !== undefined) {
        this.#startHead(next, { kind, nowMs, commands });
        next = this.#findNext(kind);
      }
    }
    return commands;
  }

  /** Returns the customer with the lowest start tag among those that may start a request. */
  #findNext(kind: "live" | "rollouts"): CustomerAccount | undefined {
    let next: CustomerAccount | undefined;
    let minTag = Infinity;
    for (const account of this.#slots.listAccounts()) {
      const tag = account[kind].getStartTag();
      const isFirst = account[kind].queued > 0 && tag < minTag;
      if (isFirst && this.#slots.canStart(account, kind)) {
        next = account;
        minTag = tag;
      }
    }
    return next;
  }

  #startHead(
    account: CustomerAccount,
    options: StepOptions & { readonly kind: "live" | "rollouts" },
  ): void {
    const { kind, nowMs, commands } = options;
    const flow = account[kind];
    const startTag = flow.getStartTag();
    const id = flow.startHead({ nowMs, weight: account.weight });
    if (id !== undefined) {
      this.#virtualTime = Math.max(this.#virtualTime, startTag);
      commands.push({ kind: "start", id });
    }
  }

  /** Cancels training that live calls have displaced for the grace period. */
  #cancelExcess({ nowMs, commands }: StepOptions): void {
    const isOvercommitted = this.#slots.countOvercommitted() > 0;
    this.#overcommittedSinceMs = isOvercommitted
      ? this.#overcommittedSinceMs ?? nowMs
      : undefined;
    const sinceMs = this.#overcommittedSinceMs ?? nowMs;
    const graceMs = GRACE_FRACTION * Math.min(
      ...this.#slots.listAccounts().map(({ limits }) => limits.takeBackMs),
    );
    while (this.#slots.countOvercommitted() > 0 && nowMs - sinceMs >= graceMs) {
      if (!this.#cancelOne(this.#slots.findVictim(), commands)) {
        return;
      }
    }
  }

  /** Cancels borrowers' training if a customer's entitled slot is overdue. */
  #cancelBorrowed(account: CustomerAccount, options: StepOptions): void {
    const flow = account.rollouts;
    const isEntitled = () => flow.queued > 0 && account.hasRolloutEntitlement();
    const sinceMs = flow.getBlockedSinceMs() ?? options.nowMs;
    flow.setBlockedSinceMs(isEntitled() ? sinceMs : undefined);
    const graceMs = account.limits.takeBackMs * GRACE_FRACTION;
    while (isEntitled() && options.nowMs - sinceMs >= graceMs) {
      if (!this.#cancelOne(this.#slots.findBorrower(), options.commands)) {
        return;
      }
      // Bypasses fair queueing, which could give the slot to another customer.
      this.#startHead(account, { kind: "rollouts", ...options });
    }
  }

  #cancelOne(
    victim: CustomerAccount | undefined,
    commands: AdmissionCommand[],
  ): boolean {
    const id = victim?.cancelNewest();
    if (id === undefined) {
      return false;
    }
    this.#requests.delete(id);
    commands.push({ kind: "cancel", id });
    return true;
  }

  /** Refuses queued requests of a flow: those past their deadline, or all without `nowMs`. */
  #refuseQueued(
    flow: Flow,
    options: {
      readonly commands: AdmissionCommand[];
      readonly reason: RefusalReason;
      readonly nowMs?: number;
    },
  ): void {
    const { commands, reason, nowMs = Infinity } = options;
    const refused = flow.removeQueued((it) => it.request.deadlineMs <= nowMs);
    for (const { request: { id } } of refused) {
      this.#requests.delete(id);
      commands.push(buildRefusal(id, { reason, waitMs: flow.computeWaitMs() }));
    }
  }

  #removeQueued(flow: Flow, id: RequestId): void {
    for (const { request } of flow.removeQueued((it) => it.request.id === id)) {
      this.#requests.delete(request.id);
    }
  }
}

interface StepOptions {
  readonly nowMs: number;
  readonly commands: AdmissionCommand[];
}
