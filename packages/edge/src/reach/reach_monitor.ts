/**
 * Watches which services this host reaches: probes their endpoints when requests
 * fail or stay unanswered, and tells the other hosts. Decisions are in
 * `ServiceReach` and `CallPaths`.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock, Timer } from "@briarhill/common/time/clock";
import { type CallPath, CallPaths } from "@briarhill/routing/reach/call_paths";
import type { HostReach } from "@briarhill/routing/reach/host_reach";
import {
  type ProbeRound,
  type ReachChange,
  ServiceReach,
} from "@briarhill/routing/reach/service_reach";
import type { HostMetrics } from "../observe/host_metrics.ts";
import { ServiceProbe, type ServiceProbeOptions } from "./service_probe.ts";

/** Interval at which due rounds are started while a service is lost, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Maximum random delay of the probes that a loss at another host causes, in milliseconds. */
const MAX_CONFIRM_DELAY_MS = 100;
/** Time for which a service has to be lost until this host gives its jobs away, in milliseconds: two probe rounds. */
const JOB_RELEASE_MS = 350;

/** Options of {@link ReachMonitor}. */
export interface ReachMonitorOptions extends ServiceProbeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  /** The IP address and the failure domain of this host. */
  readonly local: Pick<HostReach, "host" | "failureDomain">;
  /** Called with what this host says of itself, when that has changed. */
  readonly onChange: (reach: HostReach) => void;
}

/** Watches which services this host reaches. */
export class ReachMonitor {
  /** What is known of the other hosts. */
  readonly paths: CallPaths;
  readonly probe: ServiceProbe;
  readonly #options: ReachMonitorOptions;
  readonly #services = new Map<string, ServiceReach>();
  readonly #rounds = new Map<string, Promise<void>>();
  #checkTimer: Timer | undefined;
  #isStopped = false;

  constructor(options: ReachMonitorOptions) {
    this.#options = options;
    this.probe = new ServiceProbe(options);
    this.paths = new CallPaths(options.local, options.random);
  }

  /** The services of which this host reaches no endpoint. */
  get lostServices(): readonly string[] {
    return [...this.#services]
      .filter(([, reach]) => reach.isLost)
      .map(([service]) => service);
  }

  /**
   * Records an answer of an endpoint.
   *
   * @param service - The service of the endpoint.
   */
  addAnswer(service: string): void {
    this.#getReach(service).addAnswer(this.#options.clock.getMonotonicMs());
  }

  /**
   * Records a request that has failed or has had no answer for long.
   *
   * @param service - The service of its endpoint.
   * @param sentAtMs - When it was sent, or when the last byte of its answer arrived.
   * @param isUnconnected - Whether no connection was established for it.
   */
  addDoubt(service: string, sentAtMs: number, isUnconnected = false): void {
    this.#getReach(service).addDoubt(sentAtMs, isUnconnected);
    this.#startDueRound(service);
  }

  /**
   * Decides the way of a call; waits for a probe round if the last requests have
   * failed.
   *
   * @param service - The service of the call.
   * @param isRelayed - Whether another host has passed the call on.
   */
  async findPath(service: string, isRelayed: boolean): Promise<CallPath> {
    const reach = this.#getReach(service);
    this.#startDueRound(service);
    const round = this.#rounds.get(service);
    if (round !== undefined && !reach.isLost) {
      await round;
    }
    return this.paths.decidePath(service, {
      reach,
      isRelayed,
      nowMs: this.#options.clock.getMonotonicMs(),
    });
  }

  /**
   * Lists other hosts that reach a service as far as is known.
   *
   * @param service - The service.
   */
  listReaching(service: string): readonly string[] {
    return this.paths.listRelays(service, this.#options.clock.getMonotonicMs());
  }

  /**
   * Returns whether requests can be sent to a service over connections of this host.
   *
   * @param service - The service.
   */
  canSend(service: string): boolean {
    const reach = this.#services.get(service);
    return reach === undefined || !reach.isLost || reach.hasOpenConnections;
  }

  /**
   * Returns whether a request may have been lost with this host's links.
   *
   * @param service - The service of its endpoint.
   * @param lostAtMs - When it was lost, on the monotonic clock.
   */
  isLinkLoss(service: string, lostAtMs: number): boolean {
    return this.#services.get(service)?.isLinkLoss(lostAtMs) === true;
  }

  /** Whether this host reaches all services, or no other host does better, so that it may hold jobs of the whole fleet. */
  canHoldJobs(): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    const isHarmed = [...this.#services.values()].some((reach) =>
      reach.getLostMs(nowMs) >= JOB_RELEASE_MS
    );
    return !isHarmed || !this.paths.hasUnharmedHost(nowMs);
  }

  /**
   * Applies what another host says of itself, and confirms what this host reaches of
   * the services that the other one has lost.
   *
   * @param remote - What the host says.
   */
  applyReach(remote: HostReach): void {
    this.paths.applyReach(remote);
    remote.lostServices.forEach((service) => this.#checkReach(service));
  }

  /** Returns what this host says of itself. */
  createRecord(): HostReach {
    return { ...this.#options.local, lostServices: this.lostServices };
  }

  /** Stops probing. */
  stop(): void {
    this.#isStopped = true;
    this.#checkTimer?.cancel();
  }

  #getReach(service: string): ServiceReach {
    const reach = this.#services.get(service) ?? new ServiceReach();
    this.#services.set(service, reach);
    return reach;
  }

  #startDueRound(service: string): void {
    const { clock } = this.#options;
    if (this.#getReach(service).shouldProbe(clock.getMonotonicMs())) {
      this.#startRound(service);
    }
  }

  #startRound(service: string): void {
    if (this.#isStopped || this.#rounds.has(service)) {
      return;
    }
    const round = this.#runRound(service)
      .finally(() => this.#rounds.delete(service));
    this.#rounds.set(service, round);
  }

  async #runRound(service: string): Promise<void> {
    const { clock } = this.#options;
    const reach = this.#getReach(service);
    const startedAtMs = clock.getMonotonicMs();
    const probes = await this.probe.probeService(service);
    const endedAtMs = clock.getMonotonicMs();
    const isReachedElsewhere = this.paths
      .listReaching(service, endedAtMs).length > 0;
    const change = reach.applyRound({
      ...probes,
      startedAtMs,
      endedAtMs,
      isReachedElsewhere,
    });
    this.#applyChange(service, change, { ...probes, isReachedElsewhere });
  }

  #applyChange(
    service: string,
    change: ReachChange,
    fields: Omit<ProbeRound, "startedAtMs" | "endedAtMs">,
  ): void {
    const { logger, metrics, onChange, directory } = this.#options;
    if (change !== "none") {
      const line = { service, ...fields };
      change === "lost"
        ? logger.warn("service-lost", line)
        : logger.warn("service-regained", line);
      metrics.addReachChange(change);
      onChange(this.createRecord());
    }
    if (change === "regained") {
      directory.clearFailures(service);
    }
    if (change === "lost") {
      // The links that are lost may have led to other services too.
      [...this.#services.keys()].forEach((other) => this.#checkReach(other));
    }
    this.#scheduleCheck();
  }

  #scheduleCheck(): void {
    this.#checkTimer?.cancel();
    if (this.#isStopped || this.lostServices.length === 0) {
      return;
    }
    this.#checkTimer = this.#options.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.lostServices.forEach((service) => this.#startDueRound(service));
      this.#scheduleCheck();
    });
  }

  #checkReach(service: string): void {
    const { clock, random } = this.#options;
    if (this.#getReach(service).shouldConfirm(clock.getMonotonicMs())) {
      clock.setTimer(
        MAX_CONFIRM_DELAY_MS * random.getFloat(),
        () => this.#startRound(service),
      );
    }
  }
}
