/**
 * Runs attempts of samples for the owners of lots, this host included.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import type { ExchangeRequest } from "@briarhill/rollout/assignment/exchange";
import type { SampleWork } from "@briarhill/rollout/assignment/sample_work";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { Generator } from "../generation/generator.ts";
import type { NodeContext } from "../node/node_context.ts";
import { parseMessage } from "../peers/peer_message.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { Lifecycle } from "../stops/lifecycle.ts";
import type { WeightVersions } from "../weights/weight_versions.ts";
import { EXCHANGE_MESSAGE, type ExchangeMessage } from "./exchange_schema.ts";
import { OwnerSession } from "./owner_session.ts";
import { SampleAttempt } from "./sample_attempt.ts";
import type { SampleScoring } from "./sample_scoring.ts";

const DRAIN_POLL_MS = 50;

/** Options of `SampleWorker`. */
export interface SampleWorkerOptions {
  readonly contracts: ContractSource;
  readonly generator: Generator;
  readonly lifecycle: Lifecycle;
  readonly peers: PeerNetwork;
  readonly scoring: SampleScoring;
  readonly weights: WeightVersions;
}

/** Runs attempts of samples, with one session per owner host. */
export class SampleWorker {
  readonly #context: NodeContext;
  readonly #options: SampleWorkerOptions;
  readonly #sessions = new Map<HostId, OwnerSession>();
  #sessionCount = 0;
  #isStopped = false;

  constructor(context: NodeContext, options: SampleWorkerOptions) {
    this.#context = context;
    this.#options = options;
    options.peers.register(
      "samples.exchange",
      (input, from) =>
        this.#handleExchange(parseMessage(input, EXCHANGE_MESSAGE), from),
    );
  }

  /** Cancels stale attempts and closes sessions of owners that timed out. */
  advance(): void {
    for (const [host, session] of this.#sessions) {
      session.advance();
      if (session.isExpired()) {
        session.cancelAll();
        this.#sessions.delete(host);
      }
    }
  }

  /**
   * Interrupts all attempts and waits until their owners have the results, so that
   * other members resume them after their tokens.
   */
  async drain(): Promise<void> {
    this.#isStopped = true;
    const sessions = [...this.#sessions.values()];
    sessions.forEach((session) => session.cancelAll());
    while (
      sessions.some((one) => one.hasPendingAttempts() && !one.isExpired())
    ) {
      await this.#context.clock.sleep(DRAIN_POLL_MS);
    }
  }

  /** Cancels all attempts; called when the process stops. */
  stop(): void {
    this.#isStopped = true;
    this.#sessions.forEach((session) => session.cancelAll());
  }

  async #handleExchange(
    message: ExchangeMessage,
    from: HostId,
  ): Promise<unknown> {
    const { incarnation } = this.#options.peers.getLocalMember();
    const session = message.incarnation === incarnation
      ? this.#getSession(message, from)
      : undefined;
    if (session === undefined) {
      const results = { session: 0, ends: [], generated: [] };
      return { isAccepted: false, incarnation, ...results };
    }
    const request = message as ExchangeRequest<SampleWork>;
    const reply = await session.handleExchange(request, message.waitMs);
    return { ...reply, incarnation };
  }

  /**
   * Returns the session of an owner's process. A newer incarnation cancels the
   * attempts of an older one; an older incarnation gets no session.
   */
  #getSession(
    { owner }: ExchangeMessage,
    from: HostId,
  ): OwnerSession | undefined {
    const known = this.#sessions.get(from);
    if (known !== undefined && known.owner >= owner) {
      return known.owner === owner ? known : undefined;
    }
    known?.cancelAll();
    const session = new OwnerSession({
      owner,
      session: this.#sessionCount++,
      clock: this.#context.clock,
      createAttempt: (work) => this.#createAttempt(work),
    });
    this.#sessions.set(from, session);
    return session;
  }

  #createAttempt(work: SampleWork): SampleAttempt | undefined {
    const { contracts, lifecycle } = this.#options;
    const contract = contracts.getContract(work.lot.customer);
    const isRefused = this.#isStopped || !lifecycle.isAccepting() ||
      contract?.structure.training === undefined;
    if (isRefused || contract === undefined) {
      return undefined;
    }
    const dependencies = { ...this.#options, context: this.#context };
    return new SampleAttempt(dependencies, { work, contract });
  }
}
