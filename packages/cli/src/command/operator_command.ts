/**
 * What all commands have in common: options, output and exit codes.
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

/** What a command found, as data and as lines for a person. */
export interface CommandReport {
  readonly code: ExitCode;
  readonly data: unknown;
  readonly lines: readonly string[];
}

/** A command of the operator. */
export abstract class OperatorCommand extends Command<OperatorContext> {
  readonly json: boolean = Option.Boolean("--json", false, {
    description: "Print one JSON document",
  });
  readonly log: string | undefined = Option.String("--log", {
    description: "The log's address, or BRIARHILL_LOG",
  });
  readonly nodes: string[] | undefined = Option.Array("--node", {
    description: "A node's admin address, or BRIARHILL_NODES with commas",
  });
  readonly writer: string | undefined = Option.String("--writer", {
    description: "Who signs the change, or BRIARHILL_WRITER",
  });
  readonly config: string | undefined = Option.String("--config", {
    description: "An INI file with [operator] log, nodes[] and writer",
  });

  /** Runs the command. */
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

  /** Returns where the log and the nodes are. */
  getSettings(): OperatorSettings {
    return readOperatorSettings(this, this.context.env);
  }

  /** Opens the log; throws when its address is not set. */
  openLog(): LogService {
    const { log } = this.getSettings();
    if (log === undefined) {
      throw new SettingsError(
        "the log's address is not set: give --log, BRIARHILL_LOG or --config",
      );
    }
    return this.context.openLog(log);
  }

  /** Returns the addresses of the nodes; throws when there are none. */
  getNodesOrThrow(): readonly string[] {
    const { nodes } = this.getSettings();
    if (nodes.length === 0) {
      throw new SettingsError(
        "no node is set: give --node, BRIARHILL_NODES or --config",
      );
    }
    return nodes;
  }

  /**
   * Prints a report.
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
