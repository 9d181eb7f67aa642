/**
 * The command `config check`.
 * @module
 */
import { parseNodeSettings } from "@briarhill/node/settings/node_settings";
import { Command, Option } from "clipanion";
import { EXIT_CODE_HELP, ExitCode } from "../command/exit_code.ts";
import {
  type CommandReport,
  OperatorCommand,
} from "../command/operator_command.ts";
import { readTextFile } from "../operator/operator_settings.ts";

/** Checks the settings files of nodes. */
export class ConfigCheckCommand extends OperatorCommand {
  static override paths = [["config", "check"]];
  static override usage = Command.Usage({
    category: "Nodes",
    description: "Check the settings files of nodes, without contacting them",
    details: EXIT_CODE_HELP,
    examples: [["Check one file", "briarhill config check node.ini"]],
  });

  readonly files: string[] = Option.Rest({ required: 1, name: "FILE" });

  override runCommand(): Promise<CommandReport> {
    const hosts = this.files.map((file) =>
      parseNodeSettings(file, readTextFile(file)).host
    );
    return Promise.resolve({
      code: ExitCode.Done,
      data: { hosts },
      lines: hosts.map((host) => `${host}: no faults found`),
    });
  }
}
