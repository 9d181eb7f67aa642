/**
 * Runs the bundled `briarhilld` as a process of its own.
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { SETTINGS_VARIABLE } from "@briarhill/platform/names/settings_file";

/** What a process needs. */
export interface HostProcessOptions {
  /** The bundle. */
  readonly program: string;
  /** A folder for the settings file. */
  readonly folder: string;
  readonly name: string;
  readonly settings: string;
}

/** A host as a process, which can be killed, paused and started again. */
export class HostProcess {
  readonly #options: HostProcessOptions;
  readonly #lines: string[] = [];
  #child: ChildProcess | undefined;
  #exit: Promise<number | null> = Promise.resolve(null);

  constructor(options: HostProcessOptions) {
    this.#options = options;
  }

  /** What all processes of this host have written so far. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** Starts the process. */
  async start(): Promise<void> {
    const { program, folder, name, settings } = this.#options;
    const path = join(folder, `${name}.ini`);
    await writeFile(path, settings);
    const child = spawn(process.execPath, [program], {
      env: { [SETTINGS_VARIABLE]: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (bytes) => this.#lines.push(String(bytes)));
    }
    this.#child = child;
    this.#exit = new Promise((resolve) => child.once("exit", resolve));
  }

  /**
   * Sends a signal to the process.
   *
   * @param signal - The signal.
   */
  sendSignal(signal: "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGTERM"): void {
    this.#child?.kill(signal);
  }

  /** Resolves with the exit code, or null where a signal ended the process. */
  waitExit(): Promise<number | null> {
    return this.#exit;
  }

  /** Returns the greatest memory that the process has had, in kilobytes. */
  getPeakKb(): number {
    return readPeakKb(this.#child?.pid ?? 0);
  }
}

/**
 * Returns the greatest memory that a process has had, in kilobytes; 0 where it has ended.
 *
 * @example
 * ```ts
 * import process from "node:process";
 *
 * const peakKb = readPeakKb(process.pid);
 * ```
 * @param pid - The process.
 */
export function readPeakKb(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmHWM:\s*(\d+)/.exec(status)?.[1] ?? 0);
  } catch {
    // The process has ended, so that it has no memory.
    return 0;
  }
}
