/**
 * Watches which services this host reaches: probes their endpoints when requests
 * fail or stay unanswered, and tells the other hosts. Decisions are in
 * `ServiceReach` and `CallPaths`.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  type CallPath,
  CallPaths,
  type CallPathsOptions,
} from "@briarhill/routing/reach/call_paths";
import type { HostReach } from "@briarhill/routing/reach/host_reach";
import type { ServiceReach } from "@briarhill/routing/reach/service_reach";
import type { HostMetrics } from "../observe/host_metrics.ts";
import { ReachRounds } from "./reach_rounds.ts";
import { ServiceProbe, type ServiceProbeOptions } from "./service_probe.ts";

/** Time for which a service has to be lost until this host gives its jobs away, in milliseconds: two probe rounds. */
const JOB_RELEASE_MS = 350;

/** Options of {@link ReachMonitor}. */
export interface ReachMonitorOptions
  extends ServiceProbeOptions, CallPathsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  /** Asks other hosts whether they reach a service just now, and returns those that do; undefined if none answers. */
  readonly fetchReach: (
    service: string,
    hosts: readonly string[],
  ) => Promise<readonly string[] | undefined>;
  /** Called with what this host says of itself, when that has changed. */
  readonly onChange: (reach: HostReach) => void;
}

/** Watches which services this host reaches. */
export class ReachMonitor {
  /** What is known of the other hosts. */
  readonly paths: CallPaths;
  readonly probe: ServiceProbe;
  readonly #options: ReachMonitorOptions;
  readonly #rounds: ReachRounds;

  constructor(options: ReachMonitorOptions) {
    this.#options = options;
    this.probe = new ServiceProbe(options);
    this.paths = new CallPaths(options);
    this.#rounds = new ReachRounds({
      ...options,
      probe: this.probe,
      fetchReach: (service) => this.#fetchReach(service),
      onChange: () => options.onChange(this.createRecord()),
    });
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
    this.#rounds.startDue(service);
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
    this.#rounds.startDue(service);
    if (!reach.isLost) {
      await this.#rounds.waitRound(service);
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
    const reach = this.#getReach(service);
    return !reach.isLost || reach.hasOpenConnections;
  }

  /**
   * Returns whether a request may have been lost with this host's links.
   *
   * @param service - The service of its endpoint.
   * @param lostAtMs - When it was lost, on the monotonic clock.
   */
  isLinkLoss(service: string, lostAtMs: number): boolean {
    return this.#getReach(service).isLinkLoss(lostAtMs);
  }

  /** Whether this host reaches all services, or no other host does better, so that it may hold jobs of the whole fleet. */
  canHoldJobs(): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    const isHarmed = this.#rounds.listReaches().some((reach) =>
      reach.getLostMs(nowMs) >= JOB_RELEASE_MS &&
      reach.isReachedElsewhere === true
    );
    return !isHarmed || !this.paths.hasUnharmedHost(nowMs);
  }

  /**
   * Returns whether this host reaches a service just now; probes it unless an endpoint
   * has just answered.
   *
   * @param service - The service.
   */
  async isReached(service: string): Promise<boolean> {
    const reach = this.#getReach(service);
    if (reach.shouldVerify(this.#options.clock.getMonotonicMs())) {
      this.#rounds.start(service);
      await this.#rounds.waitRound(service);
    }
    return !reach.isLost;
  }

  /**
   * Applies what another host says of itself, and confirms what this host reaches of
   * the services that the other one has lost.
   *
   * @param remote - What the host says.
   */
  applyReach(remote: HostReach): void {
    this.paths.applyReach(remote);
    remote.lostServices.forEach((service) =>
      this.#rounds.startConfirmation(service)
    );
  }

  /** Returns what this host says of itself. */
  createRecord(): HostReach {
    const { local } = this.#options;
    return { ...local, lostServices: this.#rounds.listLost() };
  }

  /** Stops probing. */
  stop(): void {
    this.#rounds.stop();
  }

  async #fetchReach(service: string): Promise<boolean | undefined> {
    const { clock, fetchReach } = this.#options;
    const hosts = this.paths.listAsked(service, clock.getMonotonicMs());
    const reaching = await fetchReach(service, hosts);
    reaching?.forEach((host) => this.paths.setReaching(host, service));
    return reaching === undefined ? undefined : reaching.length > 0;
  }

  #getReach(service: string): ServiceReach {
    return this.#rounds.getReach(service);
  }
}
