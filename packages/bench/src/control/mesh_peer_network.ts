/**
 * Connects simulated hosts of one process in virtual time.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { HostId } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import {
  type Member,
  type PeerCall,
  type PeerHandler,
  PeerNetwork,
} from "@briarhill/node/peers/peer_network";

const LINK_DELAY_MS = 2;
const GOSSIP_INTERVAL_MS = 500;
/** Number of peers that a host sends each payload to directly. */
const GOSSIP_FANOUT = 4;

/** The hosts of a mesh by id. */
export type Mesh = Map<HostId, MeshPeerNetwork>;

/** A peer network of one host to the other hosts of a mesh. */
export class MeshPeerNetwork extends PeerNetwork {
  readonly #host: HostId;
  readonly #mesh: Mesh;
  readonly #clock: Clock;
  readonly #handlers = new Map<string, PeerHandler>();
  readonly #pending = new Map<string, unknown>();

  constructor(
    host: HostId,
    options: { readonly mesh: Mesh; readonly clock: Clock },
  ) {
    super();
    this.#host = host;
    this.#mesh = options.mesh;
    this.#clock = options.clock;
    this.#mesh.set(host, this);
    this.#scheduleGossip();
  }

  override getLocalMember(): Member {
    return createMember(this.#host);
  }

  override getMembers(): readonly Member[] {
    return [...this.#mesh.keys()].map(createMember);
  }

  override register(procedure: string, handler: PeerHandler): void {
    this.#handlers.set(procedure, handler);
  }

  override async call(host: HostId, call: PeerCall): Promise<unknown> {
    await this.#clock.sleep(LINK_DELAY_MS);
    const handler = this.#mesh.get(host)?.getHandler(call.procedure);
    if (handler === undefined) {
      throw new PortError(
        `peer "${host}" has no handler for procedure "${call.procedure}"`,
        {
          props: { port: "peer", operation: call.procedure, fault: "refused" },
        },
      );
    }
    return await handler(call.input, this.#host);
  }

  override publish(topic: string, payload: unknown): void {
    this.#pending.set(topic, payload);
  }

  override subscribe(): void {}

  /**
   * Returns the handler of a procedure on this host.
   *
   * @param procedure - The name of the procedure.
   */
  getHandler(procedure: string): PeerHandler | undefined {
    return this.#handlers.get(procedure);
  }

  /** Removes the host from the mesh. */
  close(): void {
    this.#mesh.delete(this.#host);
  }

  #scheduleGossip(): void {
    this.#clock.setTimer(GOSSIP_INTERVAL_MS, () => {
      if (this.#mesh.get(this.#host) === this) {
        this.#sendGossip();
        this.#scheduleGossip();
      }
    });
  }

  #sendGossip(): void {
    const hosts = [...this.#mesh.keys()];
    const localIndex = hosts.indexOf(this.#host);
    for (
      let step = 1;
      step <= Math.min(GOSSIP_FANOUT, hosts.length - 1);
      step++
    ) {
      // Quadratic strides around the ring reach all hosts within few rounds.
      const peer = hosts[(localIndex + step ** 2) % hosts.length];
      for (const [topic, payload] of this.#pending) {
        const handler = this.#mesh.get(peer ?? "")?.getHandler(topic);
        void handler?.(payload, this.#host);
      }
    }
    this.#pending.clear();
  }
}

function createMember(host: HostId): Member {
  return {
    host,
    incarnation: 1,
    address: "",
    failureDomain: "domain-a",
    region: "region-a",
    state: "alive",
  };
}
