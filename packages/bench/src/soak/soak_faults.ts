/**
 * Brings the faults of a plan about.
 * @module
 */
import type { HostProcess } from "@briarhill/fakes/platform/host_process";
import type { PlatformStandIn } from "@briarhill/fakes/platform/platform_stand_in";
import { setTimeout as sleep } from "node:timers/promises";
import {
  isResponseFault,
  releaseSoftware,
  type ResponseFaultKind,
  runLimit,
  runResponseFault,
  sendCrashingRequest,
} from "./endpoint_faults.ts";
import { type CutKind, type HostCuts, isCutKind } from "./host_cuts.ts";
import type { SoakFault } from "./soak_plan.ts";

/** How many events a broken engine sends before it breaks off. */
const BREAK_AFTER_EVENTS = 3;
/** How long a slow service holds answers back, in milliseconds. */
const SLOW_MS = 600;
/** How late a slow link passes each piece on, in milliseconds. */
const LINK_DELAY_MS = 40;
/** How long a leaving endpoint goes on at least, in milliseconds; above the time in which hosts may still send to it. */
const LEAVING_MS = 3_000;
const STORE_MOODS = {
  "store-busy": "busy",
  "store-silent": "silent",
  "store-lost": "lost",
  "store-refuses-host": "busy",
} as const;

/** A fault that cuts no host from all endpoints. */
type OtherFault = SoakFault & {
  readonly kind: Exclude<SoakFault["kind"], CutKind | ResponseFaultKind>;
};

/** Brings faults about, and undoes them after their time. */
export class SoakFaults {
  readonly #platform: PlatformStandIn;
  readonly #hosts: readonly HostProcess[];
  readonly #cuts: HostCuts;
  /** Hosts that are struck already; a second fault passes them over. */
  readonly #struck = new Set<number>();

  constructor(
    platform: PlatformStandIn,
    hosts: readonly HostProcess[],
    cuts: HostCuts,
  ) {
    this.#platform = platform;
    this.#hosts = hosts;
    this.#cuts = cuts;
  }

  /**
   * Brings one fault about and resolves when it is undone.
   *
   * @param fault - The fault.
   */
  async runFault(fault: SoakFault): Promise<void> {
    const { kind } = fault;
    if (isCutKind(kind)) {
      const hosts = this.#hosts.length;
      return await this.#cuts.cancelLinks(kind, { ...fault, hosts });
    }
    if (isResponseFault(kind)) {
      return await runResponseFault(this.#platform, { ...fault, kind });
    }
    return await this.#runOther({ ...fault, kind });
  }

  async #runOther(
    { kind, forMs, target: drawn }: OtherFault,
  ): Promise<void> {
    const fault = { hosts: this.#hosts.length, forMs, target: drawn };
    const target = drawn % fault.hosts;
    switch (kind) {
      case "kill":
      case "stop":
        return await this.#killHosts([target], kind, forMs);
      case "kill-all":
        return await this.#killHosts([...this.#hosts.keys()], "kill", forMs);
      case "pause":
        return await this.#suspendHost(target, forMs);
      case "store-busy":
      case "store-silent":
      case "store-lost":
      case "store-refuses-host":
        return await this.#runStoreFault(kind, forMs, target);
      case "engine-breaks":
      case "service-slow":
        return await this.#runEndpointFault(kind, forMs, drawn);
      case "endpoint-leaves":
        return await this.#runLeaving(forMs, drawn);
      case "endpoint-limited":
        return await runLimit(this.#platform, fault);
      case "request-crashes":
        return await sendCrashingRequest(this.#platform, fault);
      case "software-released":
        return await releaseSoftware(this.#platform, drawn);
      case "links-reset":
      case "links-silent":
        return this.#abortLinks(kind);
      case "link-slow":
      case "link-holds-requests":
      case "link-holds-answers":
        return await this.#runLinkFault(kind, forMs, drawn);
      default:
        return this.#publish(kind);
    }
  }

  #abortLinks(kind: "links-reset" | "links-silent"): void {
    for (const link of this.#platform.links.all) {
      kind === "links-reset"
        ? link.abortConnections()
        : link.suspendConnections();
    }
  }

  async #runEndpointFault(
    kind: "engine-breaks" | "service-slow",
    forMs: number,
    target: number,
  ): Promise<void> {
    const { engines, services } = this.#platform;
    const endpoints = kind === "engine-breaks" ? engines : services;
    const endpoint = endpoints[target % endpoints.length];
    if (endpoint === undefined) {
      return;
    }
    endpoint.breakAfter = kind === "engine-breaks"
      ? BREAK_AFTER_EVENTS
      : Infinity;
    endpoint.delayMs = kind === "service-slow" ? SLOW_MS : 0;
    await sleep(forMs);
    endpoint.breakAfter = Infinity;
    endpoint.delayMs = 0;
  }

  /** Only its answers say that it is leaving. */
  async #runLeaving(forMs: number, target: number): Promise<void> {
    const { endpoints } = this.#platform;
    const endpoint = endpoints[target % endpoints.length];
    endpoint?.leaving.start();
    await sleep(LEAVING_MS + forMs);
    endpoint?.startIncarnation();
  }

  /** A host that was frozen or restarted need not know who is leaving. */
  #clearTold(): void {
    this.#platform.endpoints.forEach(({ leaving }) =>
      leaving.clearNotifications()
    );
  }

  async #runLinkFault(
    kind: "link-slow" | "link-holds-requests" | "link-holds-answers",
    forMs: number,
    target: number,
  ): Promise<void> {
    const { all } = this.#platform.links;
    const link = all[target % all.length];
    switch (kind) {
      case "link-slow":
        link?.setDelay(LINK_DELAY_MS);
        break;
      case "link-holds-requests":
        link?.setHeldDirection("requests");
        break;
      case "link-holds-answers":
        link?.setHeldDirection("answers");
        break;
    }
    await sleep(forMs);
    link?.setDelay(0);
    link?.setHeldDirection(undefined);
  }

  #publish(
    kind:
      | "history-dropped"
      | "groups-assigned-anew"
      | "configuration"
      | "version",
  ): void {
    const { store } = this.#platform;
    switch (kind) {
      case "history-dropped":
        return store.clearHistory();
      case "groups-assigned-anew":
        return store.assignAllPartitions();
      case "configuration":
        return this.#platform.publishConfiguration();
      case "version":
        return this.#platform.publishVersion();
    }
  }

  async #runStoreFault(
    kind: keyof typeof STORE_MOODS,
    forMs: number,
    target: number,
  ): Promise<void> {
    const { store } = this.#platform;
    const ip = kind === "store-refuses-host"
      ? this.#platform.getIp(target)
      : undefined;
    store.setBehavior(STORE_MOODS[kind], ip);
    await sleep(forMs);
    store.setBehavior("well", ip);
  }

  async #suspendHost(target: number, forMs: number): Promise<void> {
    if (this.#struck.has(target)) {
      return;
    }
    const fromMs = Date.now();
    this.#struck.add(target);
    this.#hosts[target]?.sendSignal("SIGSTOP");
    await sleep(forMs);
    this.#clearTold();
    this.#hosts[target]?.sendSignal("SIGCONT");
    this.#struck.delete(target);
    this.#cuts.harms.push({ host: target, fromMs, untilMs: Date.now() });
  }

  async #killHosts(
    targets: readonly number[],
    kind: "kill" | "stop",
    forMs: number,
  ): Promise<void> {
    const free = targets.filter((target) => !this.#struck.has(target));
    const fromMs = Date.now();
    await Promise.all(free.map(async (target) => {
      this.#struck.add(target);
      const host = this.#hosts[target];
      host?.sendSignal(kind === "kill" ? "SIGKILL" : "SIGTERM");
      await host?.waitExit();
      await sleep(kind === "kill" ? forMs : 0);
      this.#clearTold();
      await host?.start();
      this.#struck.delete(target);
      this.#cuts.harms.push({ host: target, fromMs, untilMs: Date.now() });
    }));
  }
}
