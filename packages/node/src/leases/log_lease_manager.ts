/**
 * Manages leases through the platform's log: passes pages and ticks to the lease
 * agent, and appends the records that it returns.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { LeaseAgent } from "@briarhill/control/leases/lease_agent";
import {
  LEASE_STREAM,
  type LeaseAppend,
} from "@briarhill/control/leases/lease_record";
import type { LeaseTime } from "@briarhill/control/leases/lease_time";
import {
  LeaseCandidacy,
  type LeaseMember,
} from "@briarhill/control/leases/lease_candidacy";
import { LogFollower } from "../log/log_follower.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import { LeaseManager, type LeaseName } from "./lease_manager.ts";

const EPOCHS_PER_MS = 1_000;
const POLL_WAIT_MS = 5_000;
/** Interval between two reads of the stream, which bounds the overhead of reading. */
const READ_INTERVAL_MS = 2_000;
/** Read interval while a lease is held or claimed. */
const ACTIVE_READ_INTERVAL_MS = 1_000;
/** Mean interval between ticks; it also bounds the rate of this host's appends. */
const TICK_INTERVAL_MS = 500;
/** Maximum number of appends to which the log has not responded yet. */
const MAX_APPENDS_IN_FLIGHT = 4;

/** Manages leases through the platform's log. */
export class LogLeaseManager extends LeaseManager {
  readonly #context: NodeContext;
  readonly #peers: PeerNetwork | undefined;
  readonly #agent: LeaseAgent;
  readonly #candidacy: LeaseCandidacy;
  readonly #follower: LogFollower;
  #appendsInFlight = 0;

  /** Creates a manager; without peers it always seeks all leases. */
  constructor(context: NodeContext, peers?: PeerNetwork) {
    super();
    this.#context = context;
    this.#peers = peers;
    this.#candidacy = new LeaseCandidacy(context.settings.host);
    // The random part keeps the epochs of two incarnations different even after a step of the host's clock.
    const startedAtMs = Math.max(0, Math.floor(context.clock.getWallMs()));
    const epoch = startedAtMs * EPOCHS_PER_MS +
      context.random.getInteger(EPOCHS_PER_MS);
    const party = { host: context.settings.host, epoch };
    this.#agent = new LeaseAgent(party, context.random);
    this.#follower = new LogFollower(context, {
      readOnce: (signal) => this.#readOnce(signal),
      onFailure: (error) => context.logger.error("lease-read-failed", error),
    });
  }

  override seek(name: LeaseName): void {
    this.#candidacy.addLease(name, this.#getTime().monotonicMs);
    this.#updateSoughtLeases();
  }

  override async release(name: LeaseName): Promise<void> {
    this.#candidacy.removeLease(name);
    this.#agent.handleRelease(name, this.#getTime());
    await this.#appendIfDue();
  }

  override getFencing(name: LeaseName): number | undefined {
    return this.#agent.getFencing(name, this.#getTime());
  }

  override isFirstHolder(name: LeaseName): boolean {
    return this.#agent.isFirstHolder(name, this.#getTime());
  }

  /**
   * Follows the stream, and acquires and renews leases until the signal aborts.
   *
   * @param signal - Stops the manager.
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#follower.run(signal), this.#runTicks(signal)]);
  }

  async #runTicks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      // Without jitter, hosts that started together would claim at the same time.
      const phase = 0.5 + this.#context.random.getFloat();
      await this.#context.clock.sleep(TICK_INTERVAL_MS * phase, signal);
      this.#updateSoughtLeases();
      void this.#appendIfDue();
    }
  }

  /** Seeks the leases for which this host is a candidate, and stops seeking the others. */
  #updateSoughtLeases(): void {
    const now = this.#getTime();
    this.#candidacy.setMembers(this.#listMembers(), now.monotonicMs);
    for (const lease of this.#candidacy.listLeases()) {
      const progress = this.#agent.getStatus(lease);
      if (
        !this.#candidacy.shouldSeek(lease, progress, now.monotonicMs)
      ) {
        this.#agent.handleStopSeeking(lease);
      } else if (progress.state === "unsought") {
        this.#agent.handleSeek(lease, now);
      }
    }
  }

  /** Lists the hosts that may hold leases; a leaving host may not, as it hands its leases over. */
  #listMembers(): readonly LeaseMember[] {
    return this.#peers?.getMembers()
      .filter(({ state }) => state === "alive" || state === "suspect") ?? [];
  }

  async #appendIfDue(): Promise<void> {
    if (this.#appendsInFlight >= MAX_APPENDS_IN_FLIGHT) {
      return;
    }
    const append = this.#agent.handleTick(this.#getTime());
    if (append !== undefined) {
      await this.#append(append);
    }
  }

  async #append(append: LeaseAppend): Promise<void> {
    this.#appendsInFlight += 1;
    try {
      await this.#context.log.append(LEASE_STREAM, append.value);
    } catch (error) {
      const outcome = error instanceof PortError ? error.outcome : "unknown";
      this.#agent.handleFailure(append, { outcome, now: this.#getTime() });
      this.#context.logger.error("lease-append-failed", error, { outcome });
    } finally {
      this.#appendsInFlight -= 1;
    }
  }

  async #readOnce(signal: AbortSignal): Promise<void> {
    if (this.#agent.listStates().every((state) => state === "unsought")) {
      await this.#context.clock.sleep(TICK_INTERVAL_MS, signal);
      return;
    }
    const from = this.#agent.getNextOffset();
    // The first read only determines the end of the stream.
    const options = from === undefined
      ? { from: 0, limit: 1, signal }
      : { from, waitMs: POLL_WAIT_MS, signal };
    const page = await this.#context.log.read(LEASE_STREAM, options);
    this.#agent.handlePage(page, this.#getTime());
    await this.#context.clock.sleep(this.#getReadIntervalMs(from), signal);
  }

  /** Returns the delay before the next read; spaced reads return many records per page. */
  #getReadIntervalMs(from: number | undefined): number {
    if (from === undefined) {
      return 0;
    }
    const isActive = this.#agent.listStates()
      .some((state) => state === "holding" || state === "claiming");
    return isActive ? ACTIVE_READ_INTERVAL_MS : READ_INTERVAL_MS;
  }

  #getTime(): LeaseTime {
    const { clock } = this.#context;
    return {
      monotonicMs: clock.getMonotonicMs(),
      wallMs: clock.getWallMs(),
    };
  }
}
