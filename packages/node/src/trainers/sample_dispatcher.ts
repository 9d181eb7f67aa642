/**
 * Assigns attempts of samples to members, this host included, and exchanges requests
 * and results with them.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import type { Timer } from "@briarhill/common/time/clock";
import type {
  AssignableMember,
  AttemptOutcome,
  ExchangeReply,
  ExchangeRequest,
} from "@briarhill/rollout/assignment/exchange";
import { SampleAssigner } from "@briarhill/rollout/assignment/sample_assigner";
import {
  measureWorkChars,
  type SampleEnd,
  type SampleWork,
  type SampleWorkAssigner,
} from "@briarhill/rollout/assignment/sample_work";
import type { NodeContext } from "../node/node_context.ts";
import { parseReply } from "../peers/peer_message.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import { EXCHANGE_REPLY } from "./exchange_schema.ts";

const WAIT_MS = 2000;
const CALL_TIMEOUT_MS = 5000;
/** Delay that collects attempts which are assigned close together into a request. */
const BATCH_DELAY_MS = 5;
const RETRY_DELAY_MS = 200;

/** The outcome of an attempt at a member. */
export type SampleOutcome = AttemptOutcome<SampleEnd>;

/** Assigns attempts of samples to members and reports their outcomes. */
export class SampleDispatcher {
  readonly #context: NodeContext;
  readonly #peers: PeerNetwork;
  readonly #assigner: SampleWorkAssigner = new SampleAssigner(measureWorkChars);
  #onOutcomes: (outcomes: readonly SampleOutcome[]) => void = () => {};
  #timer: Timer | undefined;
  #isStopped = false;

  constructor(context: NodeContext, peers: PeerNetwork) {
    this.#context = context;
    this.#peers = peers;
    peers.subscribe(() => this.#updateMembers());
  }

  /**
   * Sets the callback that receives the outcomes of attempts.
   *
   * @param callback - Called with each batch of outcomes.
   */
  subscribe(callback: (outcomes: readonly SampleOutcome[]) => void): void {
    this.#onOutcomes = callback;
  }

  /** Returns whether any member can accept an attempt now. */
  canAssign(): boolean {
    return this.#assigner.canAssign(this.#getNow());
  }

  /**
   * Assigns an attempt to a member and returns its number, or undefined if no member
   * can accept it.
   *
   * @param work - The sample to generate.
   * @param affinity - The key that attempts with the same prompt share.
   */
  admitAttempt(work: SampleWork, affinity: string): number | undefined {
    const nowMs = this.#getNow();
    const number = this.#assigner.assignAttempt({ work, affinity, nowMs });
    this.#scheduleSend(BATCH_DELAY_MS);
    return number;
  }

  /**
   * Asks the member of an attempt to cancel it.
   *
   * @param number - The number of the attempt.
   */
  cancelAttempt(number: number): void {
    this.#assigner.cancelAttempt(number);
    this.#scheduleSend(BATCH_DELAY_MS);
  }

  /**
   * Assigns no new attempts to a member for some time.
   *
   * @param host - The member.
   * @param forMs - The duration in milliseconds.
   */
  suspendMember(host: HostId, forMs: number): void {
    this.#assigner.suspendMember(host, this.#getNow() + forMs);
  }

  /** Updates the members, withdraws attempts of unreachable ones and sends requests. */
  advance(): void {
    this.#updateMembers();
    this.#deliverOutcomes(this.#assigner.advance(this.#getNow()));
    this.#sendDue();
  }

  /** Sends no further requests; called when the process stops. */
  stop(): void {
    this.#isStopped = true;
    this.#timer?.cancel();
  }

  #updateMembers(): void {
    const members = this.#peers.getMembers()
      .filter(({ state }) => state !== "failed")
      .map(({ host, incarnation, state }): AssignableMember => ({
        host,
        incarnation,
        isUsable: state === "alive",
      }));
    this.#deliverOutcomes(this.#assigner.setMembers(members, this.#getNow()));
  }

  #scheduleSend(delayMs: number): void {
    this.#timer ??= this.#context.clock.setTimer(delayMs, () => {
      this.#timer = undefined;
      this.#sendDue();
    });
  }

  #sendDue(): void {
    if (this.#isStopped) {
      return;
    }
    for (const host of this.#assigner.listDue(this.#getNow())) {
      const request = this.#assigner.takeRequest(host);
      if (request !== undefined) {
        void this.#callMember(host, request);
      }
    }
  }

  async #callMember(
    host: HostId,
    request: ExchangeRequest<SampleWork>,
  ): Promise<void> {
    const reply = await this.#fetchReply(host, request);
    const nowMs = this.#getNow();
    if (reply === undefined) {
      this.#assigner.handleFailure(host, request, nowMs);
      this.#scheduleSend(RETRY_DELAY_MS);
      return;
    }
    const answer = { reply, nowMs };
    this.#deliverOutcomes(this.#assigner.handleReply(host, request, answer));
    this.#scheduleSend(BATCH_DELAY_MS);
  }

  async #fetchReply(
    host: HostId,
    request: ExchangeRequest<SampleWork>,
  ): Promise<ExchangeReply<SampleEnd> | undefined> {
    const waitMs = this.#assigner.hasAttempts(host) ? WAIT_MS : 0;
    const owner = this.#peers.getLocalMember().incarnation;
    try {
      const reply = await this.#peers.call(host, {
        procedure: "samples.exchange",
        input: { ...request, owner, waitMs },
        timeoutMs: waitMs + CALL_TIMEOUT_MS,
      });
      return parseReply(reply, {
        schema: EXCHANGE_REPLY,
        operation: "samples.exchange",
      }) as ExchangeReply<SampleEnd>;
    } catch (error) {
      this.#context.logger.error("sample-exchange-failed", error, {
        peer: host,
      });
      return undefined;
    }
  }

  #deliverOutcomes(outcomes: readonly SampleOutcome[]): void {
    if (outcomes.length > 0 && !this.#isStopped) {
      const withdrawn = outcomes
        .filter(({ kind }) => kind === "withdrawn").length;
      if (withdrawn > 0) {
        this.#context.logger.warn("samples-withdrawn", { runs: withdrawn });
      }
      this.#onOutcomes(outcomes);
    }
  }

  #getNow(): number {
    return this.#context.clock.getMonotonicMs();
  }
}
