/**
 * Handles pulls, progress queries and cancellations of lots on any host. A call is
 * served here only if this host owns the lot; otherwise it goes to the owner.
 * @module
 */
import {
  InputError,
  NotFoundError,
  RefusedError,
} from "@briarhill/common/errors/errors";
import type { HostId } from "@briarhill/common/ids/ids";
import type { PullAnswer } from "@briarhill/rollout/delivery/owner_command";
import { Lot } from "@briarhill/rollout/lots/lot";
import { parseMessage, parseReply } from "../peers/peer_message.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { LotReplicas } from "./lot_replicas.ts";
import type { LotName } from "./lot_name.ts";
import type { LotRegistry, OwnedLot } from "./lot_registry.ts";
import {
  LOT_NAME_MESSAGE,
  PROGRESS_REPLY,
  type ProgressReply,
  PULL_MESSAGE,
  PULL_REPLY,
  type PullMessage,
  type PullReply,
} from "./lot_schema.ts";
import type { SampleProducer } from "./sample_producer.ts";

const PEER_TIMEOUT_MS = 5000;
const RETRY_AFTER_MS = 500;
const MAX_OWNER_LOOKUPS = 3;

/** Handles calls about lots, here or by forwarding them to the lot's owner. */
export class LotHandler {
  readonly #registry: LotRegistry;
  readonly #replicas: LotReplicas;
  readonly #peers: PeerNetwork;
  readonly #producer: SampleProducer;

  constructor(options: {
    readonly registry: LotRegistry;
    readonly replicas: LotReplicas;
    readonly peers: PeerNetwork;
    readonly producer: SampleProducer;
  }) {
    this.#registry = options.registry;
    this.#replicas = options.replicas;
    this.#peers = options.peers;
    this.#producer = options.producer;
    this.#peers.register(
      "lots.pull",
      (input) => this.#pullLocal(parseMessage(input, PULL_MESSAGE)),
    );
    this.#peers.register(
      "lots.progress",
      (input) =>
        Promise.resolve(
          this.#getLocalProgress(parseMessage(input, LOT_NAME_MESSAGE)),
        ),
    );
    this.#peers.register("lots.cancel", (input) => {
      this.#registry.getOwned(parseMessage(input, LOT_NAME_MESSAGE))?.runner
        .cancel();
      return Promise.resolve({});
    });
  }

  /**
   * Pulls samples of a lot, looking the owner up again when it has changed.
   *
   * @param pull - The lot, the cursor, the limit and the wait time.
   * @param signal - Aborts a pull that is served by this host.
   */
  async pull(pull: PullMessage, signal?: AbortSignal): Promise<PullReply> {
    for (let lookup = 0; lookup < MAX_OWNER_LOOKUPS; lookup++) {
      const owner = await this.#findOwner(pull);
      const reply = owner === undefined
        ? await this.#pullLocal(pull, signal)
        : await this.#callOwner(owner, "lots.pull", pull);
      if (reply !== null) {
        return parseReply(reply, {
          schema: PULL_REPLY,
          operation: "lots.pull",
        });
      }
    }
    throw createBusyError(pull);
  }

  /**
   * Returns the progress of a lot.
   *
   * @param name - The lot.
   */
  async getProgress(name: LotName): Promise<ProgressReply> {
    const owner = await this.#findOwner(name);
    const reply = owner === undefined
      ? this.#getLocalProgress(name)
      : await this.#callOwner(owner, "lots.progress", name);
    if (reply === null) {
      throw createBusyError(name);
    }
    return parseReply(reply, {
      schema: PROGRESS_REPLY,
      operation: "lots.progress",
    });
  }

  /**
   * Cancels a lot at its owner.
   *
   * @param name - The lot.
   */
  async cancel(name: LotName): Promise<void> {
    const owner = await this.#findOwner(name);
    if (owner === undefined) {
      this.#registry.getOwned(name)?.runner.cancel();
    } else {
      await this.#callOwner(owner, "lots.cancel", name);
    }
  }

  /**
   * Returns the host that owns a lot, or undefined for this host, which takes the
   * lot over when its owner has failed.
   */
  async #findOwner(name: LotName): Promise<HostId | undefined> {
    if (this.#registry.getOwned(name) !== undefined) {
      return undefined;
    }
    const { ledger, route } = await this.#registry.routes.findRoute(name);
    switch (route.kind) {
      case "unknown":
        throw new NotFoundError(`lot "${name.id}" not found`);
      case "expired":
        throw new NotFoundError(`lot "${name.id}" has expired`);
      case "closed":
        this.#replicas.removeLot(name);
        throw new NotFoundError(`lot "${name.id}" is ${route.reason}`);
      case "forward":
        return route.host;
      case "serve":
        return undefined;
      case "take":
        await this.#takeLot(name, {
          after: route.after,
          keepers: ledger.getOpenRecord()?.keepers ?? [],
        });
        return undefined;
    }
  }

  async #takeLot(name: LotName, claim: {
    readonly after: number;
    readonly keepers: readonly HostId[];
  }): Promise<void> {
    const structure = await this.#replicas.fetchLot(name, claim.keepers);
    if (structure === undefined) {
      throw new NotFoundError(
        `found no copy of lot "${name.id}" on the hosts asked; submit it again`,
      );
    }
    await this.#registry.takeLot(Lot.createUnchecked(structure), claim.after);
  }

  #callOwner(
    owner: HostId,
    procedure: string,
    input: LotName & { readonly waitMs?: number },
  ): Promise<unknown> {
    const timeoutMs = PEER_TIMEOUT_MS + (input.waitMs ?? 0);
    return this.#peers.call(owner, { procedure, input, timeoutMs });
  }

  /** Returns null if this host does not own the lot. */
  async #pullLocal(
    pull: PullMessage,
    signal?: AbortSignal,
  ): Promise<PullReply | null> {
    const owned = this.#registry.getOwned(pull);
    if (owned === undefined) {
      return null;
    }
    this.#producer.recordActivity(pull.customer);
    const outcome = await owned.runner.pull(pull, signal);
    if (outcome === "lost") {
      return null;
    }
    return outcome === "expired"
      ? { samples: [], next: pull.cursor, whole: false }
      : buildReply(owned, outcome);
  }

  #getLocalProgress(name: LotName): ProgressReply | null {
    const owned = this.#registry.getOwned(name);
    if (owned === undefined) {
      return null;
    }
    const progress = owned.runner.owner.getProgress();
    return {
      id: name.id,
      size: progress.samples,
      finished: progress.samples - progress.wanted,
      settled: progress.settled,
      cursor: progress.cursor,
      delivered: progress.isDelivered,
      owner: this.#peers.getLocalMember().host,
    };
  }
}

function createBusyError(name: LotName): RefusedError {
  return new RefusedError(`the owner of lot "${name.id}" is changing`, {
    props: { retryAfterMs: RETRY_AFTER_MS, reason: "no-endpoint" },
  });
}

function buildReply({ lot }: OwnedLot, answer: PullAnswer): PullReply {
  if (answer.closed !== undefined && answer.samples.length === 0) {
    throw new InputError(`lot "${lot.structure.id}" is ${answer.closed}`);
  }
  const samples = answer.samples.map(({ position, sample }) => ({
    position,
    sampleId: sample.id,
    groupId: sample.group,
    index: sample.indexInGroup,
    prompt: lot.getSlotOrThrow(sample.slot).group.prompt,
    text: sample.text,
    tokens: sample.tokens,
    finishReason: sample.finishReason,
    spans: sample.spans,
    ...(sample.score === undefined ? {} : { score: sample.score }),
  }));
  return { samples, next: answer.nextCursor, whole: answer.isComplete };
}
