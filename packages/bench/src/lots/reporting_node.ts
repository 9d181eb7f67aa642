/**
 * Starts a node process and requests its resource usage.
 * @module
 */
import { StateError } from "@briarhill/common/errors/errors";
import { type ChildProcessWithoutNullStreams, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface, type Interface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { NodeReport } from "./node_report.ts";

const MAIN = fileURLToPath(new URL("reporting_node_main.js", import.meta.url));

/** A node process that reports its resource usage on request. */
export class ReportingNode {
  readonly #child: ChildProcessWithoutNullStreams;
  readonly #lines: Interface;

  private constructor(settingsFile: string) {
    this.#child = spawn(process.execPath, [MAIN, settingsFile]);
    this.#child.stderr.resume();
    this.#lines = createInterface({ input: this.#child.stdout });
  }

  /**
   * Starts a node and resolves once it is listening.
   *
   * @param settingsFile - The path of the node's settings file.
   */
  static async start(settingsFile: string): Promise<ReportingNode> {
    const started = new ReportingNode(settingsFile);
    await started.#readLine();
    return started;
  }

  /** Requests the resource usage of the node. */
  async fetchReport(): Promise<NodeReport> {
    const line = this.#readLine();
    this.#child.stdin.write("report\n");
    return JSON.parse(await line) as NodeReport;
  }

  /** Kills the process without a graceful shutdown. */
  async stop(): Promise<void> {
    const ended = once(this.#child, "exit");
    this.#child.kill("SIGKILL");
    await ended;
  }

  async #readLine(): Promise<string> {
    const ended = once(this.#child, "exit").then(() => {
      throw new StateError(
        "node process exited before it wrote the expected line",
      );
    });
    const [line] = await Promise.race([once(this.#lines, "line"), ended]);
    return String(line);
  }
}
