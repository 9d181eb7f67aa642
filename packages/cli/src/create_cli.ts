/**
 * Creates the command-line interface `briarhill` and registers its commands.
 * @module
 */
import { readPackageVersion } from "@briarhill/common/packages/package_version";
import { Builtins, Cli } from "clipanion";
import type { OperatorContext } from "./command/operator_context.ts";
import { CapacityPublishCommand } from "./commands/capacity_publish_command.ts";
import { ConfigCheckCommand } from "./commands/config_check_command.ts";
import { ContractAmendCommand } from "./commands/contract_amend_command.ts";
import { ContractCheckCommand } from "./commands/contract_check_command.ts";
import { ContractDiffCommand } from "./commands/contract_diff_command.ts";
import { ContractHistoryCommand } from "./commands/contract_history_command.ts";
import { ContractPublishCommand } from "./commands/contract_publish_command.ts";
import { ContractRemoveCommand } from "./commands/contract_remove_command.ts";
import { ContractShowCommand } from "./commands/contract_show_command.ts";
import { DrainCommand } from "./commands/drain_command.ts";
import { HistogramsCommand } from "./commands/histograms_command.ts";
import { StatusCommand } from "./commands/status_command.ts";
import { WatchCommand } from "./commands/watch_command.ts";

const PACKAGE_FILE = new URL("../../package.json", import.meta.url);
const COMMANDS = [
  ContractCheckCommand,
  ContractPublishCommand,
  ContractAmendCommand,
  ContractRemoveCommand,
  ContractShowCommand,
  ContractHistoryCommand,
  ContractDiffCommand,
  CapacityPublishCommand,
  ConfigCheckCommand,
  StatusCommand,
  WatchCommand,
  DrainCommand,
  HistogramsCommand,
];

/**
 * Creates the command-line interface with all commands, `--help` and `--version`.
 *
 * @example
 * ```ts
 * process.exitCode = await createCli().run(process.argv.slice(2), context);
 * ```
 */
export function createCli(): Cli<OperatorContext> {
  const cli = new Cli<OperatorContext>({
    binaryName: "briarhill",
    binaryLabel: "Operator command line of briarhill",
    binaryVersion: readPackageVersion(PACKAGE_FILE),
    enableCapture: false,
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  COMMANDS.forEach((command) => cli.register(command));
  return cli;
}
