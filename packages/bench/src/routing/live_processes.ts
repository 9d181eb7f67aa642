/**
 * Starts a node and the stand-ins as processes on loopback.
 * @module
 */
import { SettingsError } from "@briarhill/common/errors/errors";
import type { StandInAddresses } from "@briarhill/fakes/standins/stand_ins";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { createLocalNodes } from "../nodes/local_nodes.ts";
import { formatNodeSettings } from "../nodes/node_settings_text.ts";

const MAX_READY_CHECKS = 200;
const READY_POLL_INTERVAL_MS = 50;

/** A node process and a stand-in process on loopback. */
export class LiveProcesses {
  readonly addresses: StandInAddresses;
  /** The address of the node for callers. */
  readonly nodeAddress: string;
  readonly #standIns: ChildProcess;
  readonly #node: ChildProcess;
  readonly #folder: string;

  private constructor(options: {
    readonly addresses: StandInAddresses;
    readonly nodeAddress: string;
    readonly standIns: ChildProcess;
    readonly node: ChildProcess;
    readonly folder: string;
  }) {
    this.addresses = options.addresses;
    this.nodeAddress = options.nodeAddress;
    this.#standIns = options.standIns;
    this.#node = options.node;
    this.#folder = options.folder;
  }

  /** Starts the processes and waits until the node is ready. */
  static async start(): Promise<LiveProcesses> {
    const standIns = startModule("./engine_process.js", []);
    const addresses = JSON.parse(await readLine(standIns)) as StandInAddresses;
    const [localNode] = await createLocalNodes(1);
    if (localNode === undefined) {
      throw new SettingsError("settings of 1 node requested, none created");
    }
    const folder = mkdtempSync(join(tmpdir(), "briarhill-"));
    const config = join(folder, "node.ini");
    writeFileSync(config, formatNodeSettings(localNode, addresses));
    const main = import.meta.resolve("@briarhill/node/node/main");
    const node = startModule(main, ["--config", config]);
    await readLine(node);
    await waitUntilReady(`http://127.0.0.1:${localNode.adminPort}`);
    const nodeAddress = `http://127.0.0.1:${localNode.callersPort}`;
    return new LiveProcesses({
      addresses,
      nodeAddress,
      standIns,
      node,
      folder,
    });
  }

  /** Returns the process id of the node. */
  getNodePid(): number {
    return this.#node.pid ?? 0;
  }

  /** Stops the processes. */
  async stop(): Promise<void> {
    this.#node.kill("SIGTERM");
    await once(this.#node, "exit");
    this.#standIns.stdin?.end();
    await once(this.#standIns, "exit");
    rmSync(this.#folder, { recursive: true });
  }
}

function startModule(
  module: string,
  options: readonly string[],
): ChildProcess {
  const file = fileURLToPath(new URL(module, import.meta.url));
  return spawn(process.execPath, [file, ...options], {
    stdio: ["pipe", "pipe", "ignore"],
  });
}

async function readLine(child: ChildProcess): Promise<string> {
  if (child.stdout === null) {
    throw new SettingsError(
      "process started without a pipe for standard output",
    );
  }
  const lines = createInterface({ input: child.stdout });
  const [line] = await once(lines, "line");
  return String(line);
}

async function waitUntilReady(admin: string): Promise<void> {
  for (let count = 0; count < MAX_READY_CHECKS; count++) {
    const response = await request(`${admin}/readyz`).catch(() => undefined);
    await response?.body.dump();
    if (response?.statusCode === 200) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_INTERVAL_MS));
  }
  throw new SettingsError(
    `node not ready after ${MAX_READY_CHECKS} checks of ${admin}/readyz`,
  );
}
