/**
 * Runs one example deployment against stand-ins, with the load of all its
 * customers and trainers.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { SystemClock } from "@briarhill/common/time/system_clock";
import {
  type StandIns,
  startStandIns,
} from "@briarhill/fakes/standins/stand_ins";
import type { TrainingStructure } from "@briarhill/contract/contract/contract_structure";
import type { NodeSettings } from "@briarhill/node/settings/node_settings";
import { LocalNodes } from "../nodes/local_nodes.ts";
import { publishContract } from "../nodes/publish_contract.ts";
import { CustomerLoad } from "./customer_load.ts";
import type { DeploymentFiles } from "./deployment_files.ts";
import type { DeploymentOptions } from "./deployment_options.ts";
import { setFreePorts } from "./free_port_settings.ts";
import {
  type JudgedStep,
  type SampleStaleness,
  TrainerLoad,
} from "./trainer_load.ts";

const LIVE_PAUSE_MS = 100;
const CALLERS_PER_CUSTOMER = 4;

/** The records of one run of a deployment. */
export interface DeploymentRun {
  /** The figure that each trainer's contract favours. */
  readonly favours: readonly TrainingStructure["favours"][];
  readonly customers: readonly CustomerLoad[];
  readonly steps: readonly JudgedStep[];
  /** The staleness of all samples. */
  readonly staleness: readonly SampleStaleness[];
  /** The keys of all executions at the services, in order of execution. */
  readonly executions: readonly string[];
  readonly runMs: number;
}

/** Runs one deployment against stand-ins. */
export class Deployment {
  readonly #files: DeploymentFiles;
  readonly #options: DeploymentOptions;
  readonly #clock = new SystemClock();
  /** The versions of each model that may have produced a token. */
  readonly #versions = new Map<string, readonly number[]>();

  constructor(files: DeploymentFiles, options: DeploymentOptions) {
    this.#files = files;
    this.#options = options;
    for (const [model, version] of Object.entries(files.standIns.models)) {
      this.#addVersion(model, version);
    }
  }

  /** Starts stand-ins and nodes, runs the load and stops them again. */
  async run(): Promise<DeploymentRun> {
    const standIns = await this.#startStandIns();
    try {
      for (const contract of this.#files.contractFiles) {
        await publishContract(standIns.log, contract);
      }
      const settings = await this.#getSettings(standIns);
      const nodes = await LocalNodes.start(settings, this.#clock);
      try {
        await nodes.waitUntilReady();
        return await this.#runLoad(standIns, nodes.getAddresses());
      } finally {
        await nodes.stop();
      }
    } finally {
      await standIns.stop();
    }
  }

  #startStandIns(): Promise<StandIns> {
    const { standIns } = this.#files;
    return startStandIns(
      this.#options.freePorts ? { ...standIns, firstPort: 0 } : standIns,
    );
  }

  async #getSettings(standIns: StandIns): Promise<readonly NodeSettings[]> {
    const { nodes } = this.#files;
    return this.#options.freePorts
      ? await setFreePorts(nodes, standIns.getAddresses())
      : nodes;
  }

  async #runLoad(
    standIns: StandIns,
    addresses: readonly string[],
  ): Promise<DeploymentRun> {
    const customers = this.#createCustomers(addresses);
    const trainers = this.#createTrainers(standIns, addresses);
    const startMs = this.#clock.getMonotonicMs();
    const abortController = new AbortController();
    const loads = [...customers, ...trainers].map((load) =>
      load.run(abortController.signal)
    );
    await this.#clock.sleep(this.#options.seconds * 1000);
    abortController.abort();
    await Promise.all(loads);
    return {
      favours: this.#files.contracts.flatMap(({ training }) =>
        training === undefined ? [] : [training.favours]
      ),
      customers,
      steps: trainers.flatMap((trainer) => trainer.steps),
      staleness: trainers.flatMap((trainer) => trainer.staleness),
      executions: standIns.services.flatMap(({ service }) =>
        service.getExecutions().map((execution) => execution.key)
      ),
      runMs: this.#clock.getMonotonicMs() - startMs,
    };
  }

  #createCustomers(
    addresses: readonly string[],
  ): readonly CustomerLoad[] {
    const callers = this.#files.contracts
      .filter((contract) => contract.training === undefined)
      .flatMap((contract) =>
        Array.from({ length: CALLERS_PER_CUSTOMER }, () => contract)
      );
    return callers.map((contract, index) =>
      new CustomerLoad({
        contract,
        addresses,
        clock: this.#clock,
        random: new SeededRandom(this.#options.seed + index),
        pauseMs: LIVE_PAUSE_MS,
        getVersions: (model) => this.#versions.get(model) ?? [],
      })
    );
  }

  #addVersion(model: string, version: number): void {
    const versions = this.#versions.get(model) ?? [];
    this.#versions.set(model, [...versions, version]);
  }

  #createTrainers(
    standIns: StandIns,
    addresses: readonly string[],
  ): readonly TrainerLoad[] {
    return this.#files.contracts.flatMap((contract) =>
      (contract.training?.models ?? []).map((model) =>
        new TrainerLoad({
          contract,
          model,
          lot: this.#options.lot,
          addresses,
          clock: this.#clock,
          addVersion: (name, version) => {
            this.#addVersion(name, version);
            standIns.weights.addVersion(name, version);
          },
        })
      )
    );
  }
}
