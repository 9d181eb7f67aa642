/**
 * Starts one peer process and fetches its reports.
 * @module
 */
import { StateError } from "@briarhill/common/errors/errors";
import { type ChildProcessWithoutNullStreams, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface, type Interface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { PeerReport } from "./peer_report.ts";

const MAIN = fileURLToPath(new URL("peer_process_main.js", import.meta.url));

/** Options of a peer process. */
export interface PeerProcessOptions {
  readonly index: number;
  readonly seed: number;
  readonly seedPorts: readonly number[];
}

/** A child process that runs the peer network of one host. */
export class PeerProcess {
  readonly #child: ChildProcessWithoutNullStreams;
  readonly #lines: Interface;
  #port = 0;

  private constructor(options: PeerProcessOptions) {
    const { index, seed, seedPorts } = options;
    const seeds = seedPorts.map((seedPort) => `127.0.0.1:${seedPort}`);
    const args = [index, seed].map(String);
    this.#child = spawn(process.execPath, [
      "--expose-gc",
      MAIN,
      ...args,
      ...seeds,
    ]);
    this.#child.stderr.pipe(process.stderr);
    this.#lines = createInterface({ input: this.#child.stdout });
  }

  /**
   * Starts a process and resolves once it is listening.
   *
   * @param options - Its index, random seed and seed ports.
   */
  static async start(options: PeerProcessOptions): Promise<PeerProcess> {
    const started = new PeerProcess(options);
    started.#port = Number(await started.#readLine());
    return started;
  }

  /** Returns the port that the process listens on. */
  getPort(): number {
    return this.#port;
  }

  /** Fetches the current counts of the process. */
  async fetchReport(): Promise<PeerReport> {
    const line = this.#readLine();
    this.#child.stdin.write("report\n");
    return JSON.parse(await line) as PeerReport;
  }

  /** Kills the process without a graceful stop. */
  async stop(): Promise<void> {
    const ended = once(this.#child, "exit");
    this.#child.kill("SIGKILL");
    await ended;
  }

  async #readLine(): Promise<string> {
    const ended = once(this.#child, "exit").then(() => {
      throw new StateError("peer process exited before it wrote a line");
    });
    const [line] = await Promise.race([once(this.#lines, "line"), ended]);
    return String(line);
  }
}
