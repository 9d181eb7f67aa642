/**
 * Runs the bundled `briarhilld` as a process of its own.
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { SETTINGS_VARIABLE } from "@briarhill/platform/names/settings_file";

/** Options of {@link HostProcess}. */
export interface HostProcessOptions {
  /** The path of the bundled program. */
  readonly program: string;
  /** The folder that the settings file is written to. */
  readonly folder: string;
  /** The host's name, which the settings file is named after. */
  readonly name: string;
  /** The settings as INI text. */
  readonly settings: string;
  /** Options of the runtime, such as the size of its heap; none by default. */
  readonly runtimeOptions?: readonly string[];
}

/** A host that runs as a process, which can be killed, paused and restarted. */
export class HostProcess {
  readonly #options: HostProcessOptions;
  readonly #lines: string[] = [];
  #child: ChildProcess | undefined;
  #exit: Promise<number | null> = Promise.resolve(null);

  constructor(options: HostProcessOptions) {
    this.#options = options;
  }

  /** The output of all processes of this host so far, standard output and error, in chunks. */
  get output(): readonly string[] {
    return this.#lines;
  }

  /** Starts the process. */
  async start(): Promise<void> {
    const { program, folder, name, settings, runtimeOptions = [] } =
      this.#options;
    const path = join(folder, `${name}.ini`);
    await writeFile(path, settings);
    const child = spawn(process.execPath, [...runtimeOptions, program], {
      env: { [SETTINGS_VARIABLE]: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (bytes) => this.#lines.push(String(bytes)));
    }
    this.#child = child;
    const killChild = () => child.kill("SIGKILL");
    // A host that outlives this process would answer at its address in later runs.
    process.once("exit", killChild);
    this.#exit = new Promise((resolve) =>
      child.once("exit", (code) => {
        process.removeListener("exit", killChild);
        resolve(code);
      })
    );
  }

  /**
   * Sends a signal to the process.
   *
   * @param signal - The signal to send.
   */
  sendSignal(signal: "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGTERM"): void {
    this.#child?.kill(signal);
  }

  /** Resolves to the exit code, or null if a signal ended the process. */
  waitExit(): Promise<number | null> {
    return this.#exit;
  }

  /** Whether the process runs: it was started and has not ended. */
  get isRunning(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }

  /** Counts the open descriptors of the process; 0 if it has ended. */
  countDescriptors(): number {
    try {
      return readdirSync(`/proc/${this.#child?.pid ?? 0}/fd`).length;
    } catch {
      // An ended process has no folder of descriptors.
      return 0;
    }
  }

  /** Returns the peak resident memory of the process, in kilobytes. */
  getPeakKb(): number {
    return readPeakKb(this.#child?.pid ?? 0);
  }
}

/**
 * Returns the peak resident memory of a process, in kilobytes; 0 if it has ended.
 *
 * @example
 * ```ts
 * import process from "node:process";
 *
 * const peakKb = readPeakKb(process.pid);
 * ```
 * @param pid - The id of the process.
 */
export function readPeakKb(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmHWM:\s*(\d+)/.exec(status)?.[1] ?? 0);
  } catch {
    // An ended process has no status file.
    return 0;
  }
}
