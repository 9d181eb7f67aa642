/**
 * Drains the connections of a stopping host. Each request that was read must get a
 * complete response before the process ends.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import { StopWindow } from "@briarhill/routing/admission/stop_window";
import type { Ingress } from "../calls/ingress.ts";
import type { CallerListener } from "../http/caller_listener.ts";
import type { PeerListener } from "../peers/peer_listener.ts";
import type { HostSettings } from "../settings/host_settings.ts";

/** The time during which all requests are taken, in milliseconds: the load balancer checks each second and removes a host after two failed checks. */
const OPEN_INTAKE_MS = 2_800;
/** The time after which callers are asked to open new connections, in milliseconds: the load balancer sends those to other hosts by then. */
const CLOSE_ANNOUNCED_MS = 2_200;
/** The time during which connections are accepted, in milliseconds. */
const ACCEPTING_MS = 3_200;
/** The part of the grace period that is reserved for the last responses and the exit of the process, in milliseconds. */
const END_MARGIN_MS = 800;
/** The time in which the last responses are sent, in milliseconds. */
const LAST_RESPONSES_MS = 300;
/** The time in which other hosts end their own calls, in milliseconds; calls for their callers may take longer. */
const PEER_CALLS_MS = 300;
/** The interval between checks whether all connections are closed, in milliseconds. */
const POLL_INTERVAL_MS = 50;

/** Options of {@link HostDrain}. */
export interface HostDrainOptions {
  readonly clock: Clock;
  readonly settings: HostSettings;
  readonly stopWindow: StopWindow;
  readonly ingress: Ingress;
  readonly callers: CallerListener;
  readonly peers: PeerListener;
}

/**
 * Creates the phases of a stop.
 *
 * @example
 * ```ts
 * const stopWindow = createStopWindow(8_000);
 * ```
 * @param graceMs - The grace period of the platform, in milliseconds.
 */
export function createStopWindow(graceMs: number): StopWindow {
  return new StopWindow({
    openMs: OPEN_INTAKE_MS,
    endMs: graceMs - END_MARGIN_MS,
  });
}

/** Drains the connections of a stopping host. */
export class HostDrain {
  readonly #options: HostDrainOptions;

  constructor(options: HostDrainOptions) {
    this.#options = options;
  }

  /** Resolves once no connection is open, or shortly before the end of the grace period. */
  async drainAll(): Promise<void> {
    const { clock, settings, stopWindow, callers, peers, ingress } =
      this.#options;
    const startMs = clock.getMonotonicMs();
    const endMs = startMs + settings.graceMs - END_MARGIN_MS;
    stopWindow.start(startMs);
    await this.#sleepUntil(Math.min(startMs + CLOSE_ANNOUNCED_MS, endMs));
    callers.announceClose();
    await this.#sleepUntil(Math.min(startMs + ACCEPTING_MS, endMs));
    await this.#drainListener(callers, endMs);
    // Calls that other hosts have passed on for their callers get their responses too.
    await this.#drainListener(peers, clock.getMonotonicMs() + PEER_CALLS_MS);
    while (ingress.openRequests > 0 && clock.getMonotonicMs() < endMs) {
      await clock.sleep(POLL_INTERVAL_MS);
    }
    if (ingress.openRequests > 0) {
      await ingress.settleRequests();
      await this.#drainListener(callers, endMs + LAST_RESPONSES_MS);
    }
  }

  /** Waits until all connections of a listener are closed: an open one may bring a request at any time. */
  async #drainListener(
    listener: CallerListener | PeerListener,
    endMs: number,
  ): Promise<void> {
    const { clock } = this.#options;
    listener.close();
    while (listener.openConnections > 0 && clock.getMonotonicMs() < endMs) {
      await clock.sleep(POLL_INTERVAL_MS);
    }
  }

  #sleepUntil(timeMs: number): Promise<void> {
    const { clock } = this.#options;
    return clock.sleep(Math.max(0, timeMs - clock.getMonotonicMs()));
  }
}
