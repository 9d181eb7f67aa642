/**
 * The base class of all commands: common options, output and the mapping of
 * errors to exit codes. Results go to stdout and error messages to stderr.
 * @module
 */
import { SettingsError } from "@briarhill/common/errors/errors";
import type { LogService } from "@briarhill/ports/log/log_service";
import { Command, Option } from "clipanion";
import {
  type OperatorSettings,
  readOperatorSettings,
} from "../operator/operator_settings.ts";
import { ExitCode, getExitCode } from "./exit_code.ts";
import type { OperatorContext } from "./operator_context.ts";

/** The result of a command: data for `--json` and lines of text otherwise. */
export interface CommandReport {
  readonly code: ExitCode;
  readonly data: unknown;
  readonly lines: readonly string[];
}

/** Base class of the operator's commands. */
export abstract class OperatorCommand extends Command<OperatorContext> {
  readonly json: boolean = Option.Boolean("--json", false, {
    description: "Print the result as JSON",
  });
  readonly log: string | undefined = Option.String("--log", {
    description: "Address of the log service (environment: BRIARHILL_LOG)",
  });
  readonly nodes: string[] | undefined = Option.Array("--node", {
    description:
      "Admin address of a node, repeatable (environment: BRIARHILL_NODES, comma-separated)",
  });
  readonly writer: string | undefined = Option.String("--writer", {
    description:
      "Name recorded as the author of the change (environment: BRIARHILL_WRITER)",
  });
  readonly config: string | undefined = Option.String("--config", {
    description:
      "INI file with [operator] log, nodes[] and writer (environment: BRIARHILL_CONFIG)",
  });

  /** Runs the command and returns its result. */
  abstract runCommand(): Promise<CommandReport>;

  override async execute(): Promise<number> {
    try {
      const report = await this.runCommand();
      this.print(report);
      return report.code;
    } catch (error) {
      return this.#handleError(error);
    }
  }

  /** Returns the settings from the options, the environment and the file. */
  getSettings(): OperatorSettings {
    return readOperatorSettings(this, this.context.env);
  }

  /** Opens the log; throws a `SettingsError` when no address is set. */
  openLog(): LogService {
    const { log } = this.getSettings();
    if (log === undefined) {
      throw new SettingsError(
        "no log address is set: use --log, BRIARHILL_LOG or the key log of --config",
      );
    }
    return this.context.openLog(log);
  }

  /** Returns the node addresses; throws a `SettingsError` when none is set. */
  getNodesOrThrow(): readonly string[] {
    const { nodes } = this.getSettings();
    if (nodes.length === 0) {
      throw new SettingsError(
        "no node address is set: use --node, BRIARHILL_NODES or the key nodes[] of --config",
      );
    }
    return nodes;
  }

  /**
   * Prints a report to stdout: as one line of JSON with `--json`, else as text.
   *
   * @param report - The report.
   */
  print(report: CommandReport): void {
    const lines = this.json ? [JSON.stringify(report.data)] : report.lines;
    this.context.stdout.write(lines.map((line) => `${line}\n`).join(""));
  }

  #handleError(error: unknown): number {
    const code = getExitCode(error);
    if (code === undefined) {
      throw error;
    }
    const message = error instanceof Error ? error.message : String(error);
    this.print({ code, data: { error: message }, lines: [] });
    this.context.stderr.write(`briarhill: ${message}\n`);
    return code;
  }
}
