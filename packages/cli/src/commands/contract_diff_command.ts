/**
 * The command `contract diff`.
 * @module
 */
import { compareContracts } from "@briarhill/contract/contract/contract_diff";
import { parseContract } from "@briarhill/contract/contract/contract_text";
import { findContract } from "@briarhill/control/configuration/configuration_state";
import { Command, Option } from "clipanion";
import { EXIT_CODE_HELP, ExitCode } from "../command/exit_code.ts";
import {
  type CommandReport,
  OperatorCommand,
} from "../command/operator_command.ts";
import { ConfigurationReader } from "../operator/configuration_reader.ts";
import { readTextFile } from "../operator/operator_settings.ts";

/** Shows how a contract file differs from the contract in force. */
export class ContractDiffCommand extends OperatorCommand {
  static override paths = [["contract", "diff"]];
  static override usage = Command.Usage({
    category: "Contracts",
    description: "Show how a contract file differs from the contract in force",
    details: EXIT_CODE_HELP,
    examples: [[
      "Compare before publishing",
      "briarhill contract diff agencia.ini",
    ]],
  });

  readonly file: string = Option.String({ name: "FILE" });

  override async runCommand(): Promise<CommandReport> {
    const structure = parseContract(this.file, readTextFile(this.file));
    const reader = new ConfigurationReader(this.openLog());
    await reader.readToEnd();
    const inForce = findContract(reader.getState(), structure.customer);
    const differences = compareContracts(inForce?.structure, structure);
    return {
      code: ExitCode.Done,
      data: { revision: inForce?.revision, differences },
      lines: differences.map(({ section, key, before, after }) =>
        `[${section}] ${key}: ${before ?? "(none)"} -> ${after ?? "(none)"}`
      ),
    };
  }
}
