/**
 * One soak: real processes, faults from a seed, promises checked from outside.
 * @module
 */
import { HostProcess } from "@briarhill/fakes/platform/host_process";
import { PlatformStandIn } from "@briarhill/fakes/platform/platform_stand_in";
import {
  ATTEMPT_ID,
  DEADLINE_MS,
  SIGNATURE,
} from "@briarhill/platform/names/headers";
import { READY_PATH } from "@briarhill/platform/names/paths";
import { Agent } from "node:http";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { HostCuts } from "./host_cuts.ts";
import { type SoakBreach, SoakChecks } from "./soak_checks.ts";
import { SoakFaults } from "./soak_faults.ts";
import { SoakStreams } from "./soak_streams.ts";
import { createSoakPlan } from "./soak_plan.ts";

const SAMPLES = 6;
/** The number of endpoints of the plain service. */
const SERVICES = 4;
const LOT_EVERY_MS = 1_200;
const CALL_EVERY_MS = 40;
const READ_EVERY_MS = 150;
const CALL_DEADLINE_MS = 2_000;
/** How long everything may take to be whole after the last fault, in milliseconds (a bound of the platform). */
const RECOVERY_MS = 12_000;

/** What a soak is run with. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly hosts: number;
  /** The first of some twenty free ports, and of as many a hundred further up. */
  readonly port: number;
  /** The bundle. */
  readonly program: string;
}

/** What a soak found. */
export interface SoakReport {
  readonly seed: number;
  readonly breaches: readonly SoakBreach[];
  readonly calls: number;
  readonly served: number;
  readonly lots: number;
  /** What the hosts have written. */
  readonly logs: readonly (readonly string[])[];
}

/** One soak. */
export class SoakRun {
  readonly #options: SoakOptions;
  readonly #platform: PlatformStandIn;
  readonly #checks: SoakChecks;
  readonly #cuts: HostCuts;
  readonly #lots = new Map<string, number>();
  /** The connections of the clients that keep theirs until the host's process is gone. */
  readonly #kept = new Agent({ keepAlive: true });
  #calls = 0;
  #served = 0;
  #isRunning = true;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#platform = new PlatformStandIn(
      options.port,
      options.hosts,
      SERVICES,
    );
    this.#checks = new SoakChecks(this.#platform.completeTexts);
    this.#cuts = new HostCuts(this.#platform);
  }

  /** Runs the soak. */
  async run(): Promise<SoakReport> {
    const folder = await mkdtemp(join(tmpdir(), "briarhill-soak-"));
    const hosts = Array.from(
      { length: this.#options.hosts },
      (_, number) =>
        new HostProcess({
          program: this.#options.program,
          folder,
          name: `host-${number}`,
          settings: this.#platform.createSettings(number),
        }),
    );
    await this.#platform.start();
    await Promise.all(hosts.map((host) => host.start()));
    try {
      await this.#runLoad(new SoakFaults(this.#platform, hosts, this.#cuts));
    } finally {
      hosts.forEach((host) => host.sendSignal("SIGKILL"));
      this.#kept.destroy();
      this.#platform.stop();
      await rm(folder, { recursive: true });
    }
    return {
      seed: this.#options.seed,
      breaches: this.#checks.breaches,
      calls: this.#calls,
      served: this.#served,
      lots: this.#lots.size,
      logs: hosts.map(({ output }) => output),
    };
  }

  async #runLoad(faults: SoakFaults): Promise<void> {
    const { seed, durationMs } = this.#options;
    await this.#platform.waitFor(async () =>
      (await this.#platform.call(0, "GET", READY_PATH)).status === 200
    );
    const streams = new SoakStreams(this.#platform, {
      hosts: this.#options.hosts,
      checks: this.#checks,
      isRunning: () => this.#isRunning,
    });
    const load = [
      this.#sendCalls(),
      this.#sendLots(),
      this.#readLots(),
      streams.run(),
    ];
    const plan = createSoakPlan({ seed, durationMs });
    await Promise.all(plan.map(async (fault) => {
      await sleep(fault.atMs);
      await faults.runFault(fault);
    }));
    this.#isRunning = false;
    await Promise.all(load);
    await this.#waitWhole();
    this.#checks.checkEndpoints(this.#platform.endpoints);
    this.#checks.checkCuts(this.#cuts);
  }

  async #sendCalls(): Promise<void> {
    const open: Promise<void>[] = [];
    for (let number = 0; this.#isRunning; number++) {
      const host = number % this.#options.hosts;
      const isKept = Math.floor(number / this.#options.hosts) % 2 === 0;
      open.push(this.#sendCall(`call-${number}`, host, isKept));
      await sleep(CALL_EVERY_MS);
    }
    await Promise.all(open);
  }

  async #sendCall(id: string, host: number, isKept: boolean): Promise<void> {
    this.#calls++;
    const atMs = Date.now();
    const headers = {
      [ATTEMPT_ID]: id,
      [DEADLINE_MS]: String(CALL_DEADLINE_MS),
    };
    try {
      const answer = await this.#platform.call(host, "POST", "/app/call", {
        headers,
        body: id,
        timeoutMs: 2 * CALL_DEADLINE_MS,
        ...(isKept ? { agent: this.#kept } : {}),
      });
      const isServed = answer.status === 200;
      this.#served += isServed ? 1 : 0;
      this.#cuts.tries.push({ host, atMs, isServed });
      this.#checks.checkCall({
        id,
        status: answer.status,
        body: answer.body.toString(),
        signature: String(answer.headers[SIGNATURE.toLowerCase()]),
      });
    } catch {
      this.#cuts.tries.push({ host, atMs, isServed: false });
      // A broken connection promises nothing.
      this.#checks.checkCall({ id, status: 0, body: "", signature: "" });
    }
  }

  /** A lot that is not acknowledged is sent again at another host, as trainers do. */
  async #sendLots(): Promise<void> {
    for (let number = 0; this.#isRunning; number++) {
      const lot = `lot-${number}`;
      for (let host = number; this.#isRunning; host++) {
        const answer = await this.#platform.sendLot(
          host % this.#options.hosts,
          lot,
          SAMPLES,
        )
          .catch(() => undefined);
        if (answer?.status === 202) {
          this.#lots.set(lot, SAMPLES);
          break;
        }
        await sleep(READ_EVERY_MS);
      }
      await sleep(LOT_EVERY_MS);
    }
  }

  async #readLots(): Promise<void> {
    for (let number = 0; this.#isRunning; number++) {
      await this.#readAll(number % this.#options.hosts);
      await sleep(READ_EVERY_MS);
    }
  }

  async #readAll(host: number): Promise<void> {
    await Promise.all([...this.#lots.keys()].map(async (lot) => {
      const results = await this.#platform.readResults(host, lot)
        .catch(() => []);
      this.#checks.checkResults(lot, results);
    }));
  }

  async #waitWhole(): Promise<void> {
    const endMs = Date.now() + RECOVERY_MS;
    const isWhole = (lot: string, host: number) =>
      this.#platform.readResults(host, lot)
        .then((results) => results.length === SAMPLES, () => false);
    for (const lot of this.#lots.keys()) {
      while (Date.now() < endMs && !await isWhole(lot, 0)) {
        await sleep(READ_EVERY_MS);
      }
    }
    for (let host = 0; host < this.#options.hosts; host++) {
      await this.#readAll(host);
    }
    this.#checks.checkWhole(this.#lots);
  }
}
