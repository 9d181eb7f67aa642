/**
 * Hands lots over to other hosts during a graceful shutdown. The samples of a lot
 * must arrive before its ownership.
 * @module
 */
import { NotFoundError } from "@briarhill/common/errors/errors";
import type { HostId } from "@briarhill/common/ids/ids";
import { takeWithinMessageLimit } from "@briarhill/rollout/assignment/message_limit";
import { Lot } from "@briarhill/rollout/lots/lot";
import type { SampleStructure } from "@briarhill/rollout/samples/sample_structure";
import type { NodeContext } from "../node/node_context.ts";
import { parseMessage } from "../peers/peer_message.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { LotReplicas } from "./lot_replicas.ts";
import { getLotKey, type LotName } from "./lot_name.ts";
import type { LotRegistry, OwnedLot } from "./lot_registry.ts";
import { GIVE_MESSAGE, TAKE_MESSAGE } from "./lot_schema.ts";

const CALL_TIMEOUT_MS = 10_000;
/** The new owner generates samples beyond this bound again. */
const MAX_SENT_CHARS = 8_388_608;
/** Lots whose samples have arrived, but not yet their ownership. */
const MAX_PENDING_LOTS = 16;

/** Options of `LotHandOver`. */
export interface LotHandOverOptions {
  readonly peers: PeerNetwork;
  readonly replicas: LotReplicas;
  readonly registry: LotRegistry;
}

/**
 * Hands lots over to other hosts: sends the prompts, then the finished samples,
 * then the ownership.
 */
export class LotHandOver {
  readonly #context: NodeContext;
  readonly #options: LotHandOverOptions;
  readonly #receivedSamples = new Map<string, readonly SampleStructure[]>();

  constructor(context: NodeContext, options: LotHandOverOptions) {
    this.#context = context;
    this.#options = options;
    const { peers } = options;
    peers.register("lots.give", (input) => {
      const { samples, ...name } = parseMessage(input, GIVE_MESSAGE);
      const received = this.#receivedSamples.get(getLotKey(name)) ?? [];
      const added = samples as readonly SampleStructure[];
      this.#receivedSamples.set(getLotKey(name), [...received, ...added]);
      this.#removeOldest();
      return Promise.resolve({});
    });
    peers.register("lots.take", (input) => this.#handleTake(input));
  }

  /** Hands over all lots of this host with their finished samples. */
  async sendLots(): Promise<void> {
    await Promise.all(
      this.#options.registry.listOwned().map((owned) => this.#sendLot(owned)),
    );
  }

  /** Bounds the memory held by samples whose `lots.take` never arrives. */
  #removeOldest(): void {
    const oldest = this.#receivedSamples.keys().next();
    if (this.#receivedSamples.size > MAX_PENDING_LOTS && !oldest.done) {
      this.#receivedSamples.delete(oldest.value);
    }
  }

  async #handleTake(input: unknown): Promise<unknown> {
    const { after, ...name } = parseMessage(input, TAKE_MESSAGE);
    const { replicas, registry } = this.#options;
    const structure = replicas.getLot(name);
    if (structure === undefined) {
      throw new NotFoundError(`this host holds no copy of lot "${name.id}"`);
    }
    const samples = this.#receivedSamples.get(getLotKey(name)) ?? [];
    this.#receivedSamples.delete(getLotKey(name));
    await registry.takeLot(Lot.createUnchecked(structure), after, samples);
    return {};
  }

  async #sendLot({ lot, runner }: OwnedLot): Promise<void> {
    const { ledger, bodies } = runner.owner;
    const target = this.#pickTarget(ledger.getOpenRecord()?.keepers ?? []);
    if (target === undefined) {
      return;
    }
    const { customer, id } = lot.structure;
    try {
      // The target may have restarted since it received its copy, and lost it.
      await this.#options.replicas.sendLotTo(target, lot.structure);
      await this.#sendSamples(target, { customer, id }, bodies.listSamples());
      const after = ledger.getEpoch();
      await this.#call(target, "lots.take", { customer, id, after });
      runner.handleHandOver();
    } catch (error) {
      this.#context.logger.error("lot-hand-over-failed", error);
    }
  }

  async #sendSamples(
    target: HostId,
    name: LotName,
    samples: readonly SampleStructure[],
  ): Promise<void> {
    let chars = 0;
    for (let at = 0; at < samples.length && chars < MAX_SENT_CHARS;) {
      const batch = takeWithinMessageLimit(
        samples.slice(at),
        ({ text }) => text.length,
      );
      await this.#call(target, "lots.give", { ...name, samples: batch });
      chars += batch.reduce((sum, { text }) => sum + text.length, 0);
      at += batch.length;
    }
  }

  #call(host: HostId, procedure: string, input: unknown): Promise<unknown> {
    const timeoutMs = CALL_TIMEOUT_MS;
    return this.#options.peers.call(host, { procedure, input, timeoutMs });
  }

  #pickTarget(keepers: readonly HostId[]): HostId | undefined {
    const { peers } = this.#options;
    const localHost = peers.getLocalMember().host;
    const alive = peers.getMembers()
      .filter(({ host, state }) => host !== localHost && state === "alive")
      .map(({ host }) => host);
    return keepers.find((host) => alive.includes(host)) ?? alive[0];
  }
}
