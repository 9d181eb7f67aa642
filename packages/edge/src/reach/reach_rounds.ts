/**
 * Runs the probe rounds of all services: those that doubts call for, those that
 * confirm a loss elsewhere, and those that find out when a lost service is back.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock, Timer } from "@briarhill/common/time/clock";
import {
  type ProbeRound,
  type ReachChange,
  ServiceReach,
} from "@briarhill/routing/reach/service_reach";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { ServiceProbe } from "./service_probe.ts";

/** Interval at which due rounds are started while a service is lost, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Maximum random delay of the probes that a loss at another host causes, in milliseconds. */
const MAX_CONFIRM_DELAY_MS = 100;

/** Options of {@link ReachRounds}. */
export interface ReachRoundsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  readonly random: SeededRandom;
  readonly directory: EndpointDirectory;
  readonly probe: ServiceProbe;
  /** Asks other hosts whether one of them reaches a service just now; undefined if none answers. */
  readonly fetchReach: (service: string) => Promise<boolean | undefined>;
  /** Called when a service has been lost or regained. */
  readonly onChange: () => void;
}

/** Runs probe rounds and keeps what they have found. */
export class ReachRounds {
  readonly #options: ReachRoundsOptions;
  readonly #services = new Map<string, ServiceReach>();
  readonly #running = new Map<string, Promise<void>>();
  #checkTimer: Timer | undefined;
  #isStopped = false;

  constructor(options: ReachRoundsOptions) {
    this.#options = options;
  }

  /**
   * Returns what is known of a service.
   *
   * @param service - The service.
   */
  getReach(service: string): ServiceReach {
    const reach = this.#services.get(service) ?? new ServiceReach();
    this.#services.set(service, reach);
    return reach;
  }

  /** Returns what is known of all services that were used. */
  listReaches(): readonly ServiceReach[] {
    return [...this.#services.values()];
  }

  /** Lists the services of which this host reaches no endpoint. */
  listLost(): readonly string[] {
    return [...this.#services]
      .filter(([, reach]) => reach.isLost)
      .map(([service]) => service);
  }

  /**
   * Starts a round if one is due.
   *
   * @param service - The service.
   */
  startDue(service: string): void {
    const { clock } = this.#options;
    if (this.getReach(service).shouldProbe(clock.getMonotonicMs())) {
      this.start(service);
    }
  }

  /**
   * Starts a round unless one is running.
   *
   * @param service - The service.
   */
  start(service: string): void {
    if (this.#isStopped || this.#running.has(service)) {
      return;
    }
    const round = this.#runRound(service)
      .finally(() => this.#running.delete(service));
    this.#running.set(service, round);
  }

  /**
   * Starts a round after a short random delay, as the service was lost elsewhere.
   *
   * @param service - The service.
   */
  startConfirmation(service: string): void {
    const { clock, random } = this.#options;
    if (this.getReach(service).shouldConfirm(clock.getMonotonicMs())) {
      clock.setTimer(
        MAX_CONFIRM_DELAY_MS * random.getFloat(),
        () => this.start(service),
      );
    }
  }

  /**
   * Resolves when the running round has ended, if there is one.
   *
   * @param service - The service.
   */
  async waitRound(service: string): Promise<void> {
    await this.#running.get(service);
  }

  /** Stops probing. */
  stop(): void {
    this.#isStopped = true;
    this.#checkTimer?.cancel();
  }

  async #runRound(service: string): Promise<void> {
    const { clock, probe } = this.#options;
    const reach = this.getReach(service);
    const startedAtMs = clock.getMonotonicMs();
    const probes = await probe.probeService(service);
    const endedAtMs = clock.getMonotonicMs();
    const change = reach.applyRound({ ...probes, startedAtMs, endedAtMs });
    this.#applyChange(service, change, probes);
    if (reach.shouldAskHosts(endedAtMs)) {
      void this.#fetchReach(service, reach);
    }
  }

  async #fetchReach(service: string, reach: ServiceReach): Promise<void> {
    const { fetchReach, logger } = this.#options;
    const isReached = await fetchReach(service);
    if (isReached === undefined) {
      return;
    }
    if (reach.isLost && isReached !== reach.isReachedElsewhere) {
      logger.info("service-elsewhere", { service, isReached });
    }
    reach.setReachedElsewhere(isReached);
  }

  #applyChange(
    service: string,
    change: ReachChange,
    fields: Pick<ProbeRound, "probed" | "reached" | "refused">,
  ): void {
    const { logger, metrics, onChange, directory } = this.#options;
    if (change !== "none") {
      const line = { service, ...fields };
      change === "lost"
        ? logger.warn("service-lost", line)
        : logger.warn("service-regained", line);
      metrics.addReachChange(change);
      onChange();
    }
    if (change === "regained") {
      directory.clearFailures(service);
    }
    if (change === "lost") {
      // The links that are lost may have led to other services too.
      [...this.#services.keys()].forEach((other) =>
        this.startConfirmation(other)
      );
    }
    this.#scheduleCheck();
  }

  #scheduleCheck(): void {
    this.#checkTimer?.cancel();
    if (this.#isStopped || this.listLost().length === 0) {
      return;
    }
    this.#checkTimer = this.#options.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.listLost().forEach((service) => this.startDue(service));
      this.#scheduleCheck();
    });
  }
}
