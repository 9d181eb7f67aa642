/**
 * Runs the quickstart: two nodes in front of stand-ins, a live call, a service
 * call and a training step during which the weights change.
 * @module
 */
import { SystemClock } from "@briarhill/common/time/system_clock";
import {
  type StandIns,
  startStandIns,
} from "@briarhill/fakes/standins/stand_ins";
import { LEASE_STREAM } from "@briarhill/control/leases/lease_record";
import { readFileSync } from "node:fs";
import { type LiveCaller, type ReceivedAnswer } from "../caller/live_caller.ts";
import { createLocalSettings, LocalNodes } from "../nodes/local_nodes.ts";
import { publishContract } from "../nodes/publish_contract.ts";
import { checkStep, type StepVerdict } from "../trainer/step_check.ts";
import { type StepRecord, TrainerClient } from "../trainer/trainer_client.ts";
import type { LotRequest } from "../trainer/trainer_messages.ts";

const CONTRACT_FILE = "agencia_contract.ini";
const KEY = "agencia-example-key";
const MODEL = "names-es";
const MAX_VERSIONS_BEHIND = 4;
const SWITCH_AFTER_SAMPLES = 4;
/** Slow enough for the new weights to arrive during generation. */
const STEP_MS = 20;
const MEDIAN_TOKENS = 120;
const POLL_INTERVAL_MS = 100;

const LOT: LotRequest = {
  id: "step-1",
  step: 1,
  model: MODEL,
  groups: 4,
  samplesPerGroup: 4,
  maxTokens: 400,
};

/** The results of the quickstart. */
export interface QuickstartReport {
  readonly answer: ReceivedAnswer;
  readonly serviceStatus: number;
  /** The number of times that the service executed the single call. */
  readonly serviceExecutions: number;
  readonly step: StepRecord;
  readonly verdict: StepVerdict;
}

/** Runs the quickstart once. */
export class Quickstart {
  readonly #clock = new SystemClock();
  readonly #caller: LiveCaller;

  constructor(createCaller: (key: string) => LiveCaller) {
    this.#caller = createCaller(KEY);
  }

  /** Starts stand-ins and nodes, runs the calls and the step, and stops them. */
  async run(): Promise<QuickstartReport> {
    const standIns = await startStandIns({
      engines: 3,
      engine: { stepMs: STEP_MS, medianTokens: MEDIAN_TOKENS },
    });
    try {
      const text = readExample(CONTRACT_FILE);
      await publishContract(standIns.log, { file: CONTRACT_FILE, text });
      return await this.#runNodes(standIns);
    } finally {
      await standIns.stop();
    }
  }

  async #runNodes(standIns: StandIns): Promise<QuickstartReport> {
    const settings = await createLocalSettings(2, standIns.getAddresses());
    const nodes = await LocalNodes.start(settings, this.#clock);
    try {
      await nodes.waitUntilReady();
      await this.#waitForWeightsLeaseHolder(standIns);
      return await this.#runCalls(standIns, nodes.getAddresses());
    } finally {
      await nodes.stop();
    }
  }

  /** New weights load quickly once a host holds the lease of their rollout. */
  async #waitForWeightsLeaseHolder(standIns: StandIns): Promise<void> {
    const hasLeaseHolder = async () => {
      const { records } = await standIns.log.read(LEASE_STREAM, { from: 0 });
      return records.some(({ value }) => value.includes(`weights/${MODEL}`));
    };
    while (!await hasLeaseHolder()) {
      await this.#clock.sleep(POLL_INTERVAL_MS);
    }
  }

  async #runCalls(
    standIns: StandIns,
    addresses: readonly string[],
  ): Promise<QuickstartReport> {
    const [first = "", second = first] = addresses;
    const answer = await this.#caller.stream(first, {
      model: MODEL,
      prompt: "Names for a footbridge: ",
      maxTokens: 24,
    });
    const service = await this.#caller.callService(second, {
      service: "register",
      path: "/entries",
      idempotencyKey: "quickstart-entry",
      body: JSON.stringify({ name: answer.text }),
    });
    const step = await this.#runStep(standIns, addresses);
    return {
      answer,
      serviceStatus: service.status,
      serviceExecutions: standIns.services[0]?.service.getExecutions().length ??
        0,
      step,
      verdict: checkStep(step.samples, {
        size: LOT.groups * LOT.samplesPerGroup,
        maxVersionsBehind: MAX_VERSIONS_BEHIND,
      }),
    };
  }

  #runStep(
    standIns: StandIns,
    addresses: readonly string[],
  ): Promise<StepRecord> {
    const trainer = new TrainerClient({
      addresses,
      key: KEY,
      clock: this.#clock,
    });
    let announced = false;
    return trainer.runStep(LOT, async (received) => {
      if (!announced && received.length >= SWITCH_AFTER_SAMPLES) {
        announced = true;
        standIns.weights.addVersion(MODEL, 2);
        await trainer.announce(MODEL, 2);
      }
    });
  }
}

function readExample(name: string): string {
  const folder = new URL("../../../../../examples/", import.meta.url);
  return readFileSync(new URL(name, folder), "utf8");
}
