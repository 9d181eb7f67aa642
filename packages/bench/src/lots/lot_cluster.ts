/**
 * Starts nodes as processes that report their resource usage, and the stand-ins
 * that they use in this process.
 * @module
 */
import { DeadlineError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import {
  type StandIns,
  startStandIns,
} from "@briarhill/fakes/standins/stand_ins";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { createLocalNodes } from "../nodes/local_nodes.ts";
import {
  formatNodeSettings,
  type LocalNode,
} from "../nodes/node_settings_text.ts";
import { publishContract } from "../nodes/publish_contract.ts";
import { TrainerClient } from "../trainer/trainer_client.ts";
import { ReportingNode } from "./reporting_node.ts";

const ENGINES = 8;
const READY_TIMEOUT_MS = 60_000;
const READY_POLL_INTERVAL_MS = 50;
const CONTRACT_FILE = "agencia_contract.ini";
const EXAMPLES = new URL("../../../../../examples/", import.meta.url);
const ENGINE = {
  slots: 64,
  stepMs: 12,
  stepMsPerRequest: 0.05,
  medianTokens: 1_000_000,
  cacheEventLoss: 0,
};

/** Node processes that report their resource usage, and their stand-ins. */
export class LotCluster {
  readonly nodes: readonly ReportingNode[];
  /** Submits lots to the first node and pulls from it, so that this node owns them. */
  readonly trainer: TrainerClient;
  readonly #standIns: StandIns;
  readonly #folder: string;

  private constructor(options: {
    readonly standIns: StandIns;
    readonly nodes: readonly ReportingNode[];
    readonly trainer: TrainerClient;
    readonly folder: string;
  }) {
    this.#standIns = options.standIns;
    this.nodes = options.nodes;
    this.trainer = options.trainer;
    this.#folder = options.folder;
  }

  /**
   * Starts nodes and waits until each is ready and lists all others as alive.
   *
   * @param count - The number of nodes.
   * @param clock - The clock of the readiness timeout and of the trainer.
   */
  static async start(count: number, clock: Clock): Promise<LotCluster> {
    const standIns = await startStandIns({
      engines: ENGINES,
      hostListLagMs: 0,
      engine: ENGINE,
    });
    const text = readFileSync(new URL(CONTRACT_FILE, EXAMPLES), "utf8");
    await publishContract(standIns.log, { file: CONTRACT_FILE, text });
    const folder = mkdtempSync(join(tmpdir(), "briarhill-lots-"));
    const localNodes = await createLocalNodes(count);
    const nodes = await Promise.all(localNodes.map((node) => {
      const file = join(folder, `${node.host}.ini`);
      writeFileSync(file, formatNodeSettings(node, standIns.getAddresses()));
      return ReportingNode.start(file);
    }));
    for (const node of localNodes) {
      await waitUntilJoined(node, { count, clock });
    }
    const trainer = new TrainerClient({
      addresses: [`http://127.0.0.1:${localNodes[0]?.callersPort}`],
      key: "agencia-example-key",
      clock,
    });
    return new LotCluster({ standIns, nodes, trainer, folder });
  }

  /** Stops the nodes and the stand-ins, and removes the settings files. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.stop()));
    await this.#standIns.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

async function waitUntilJoined(
  { host, adminPort }: LocalNode,
  options: { readonly count: number; readonly clock: Clock },
): Promise<void> {
  const { count, clock } = options;
  const endMs = clock.getMonotonicMs() + READY_TIMEOUT_MS;
  while (!await isJoined(`http://127.0.0.1:${adminPort}`, count)) {
    if (clock.getMonotonicMs() > endMs) {
      throw new DeadlineError(
        `node "${host}" not ready with ${count} members alive within ${READY_TIMEOUT_MS} ms`,
      );
    }
    await clock.sleep(READY_POLL_INTERVAL_MS);
  }
}

async function isJoined(admin: string, count: number): Promise<boolean> {
  const ready = await request(`${admin}/readyz`);
  await ready.body.dump();
  const status = await request(`${admin}/control/status`);
  const { members } = await status.body.json() as {
    readonly members: readonly { readonly state: string }[];
  };
  const alive = members.filter(({ state }) => state === "alive").length;
  return ready.statusCode === 200 && alive === count;
}
