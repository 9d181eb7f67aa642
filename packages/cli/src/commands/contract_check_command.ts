/**
 * The command `contract check`.
 * @module
 */
import { parseCapacity } from "@briarhill/contract/contract/capacity";
import { getCapacity } from "@briarhill/control/configuration/configuration_state";
import { Command, Option } from "clipanion";
import { EXIT_CODE_HELP, ExitCode } from "../command/exit_code.ts";
import {
  type CommandReport,
  OperatorCommand,
} from "../command/operator_command.ts";
import { ConfigurationReader } from "../operator/configuration_reader.ts";
import {
  checkContractFiles,
  createFaultReport,
} from "../operator/contract_files.ts";
import { readTextFile } from "../operator/operator_settings.ts";

/** Checks contract files without publishing them. */
export class ContractCheckCommand extends OperatorCommand {
  static override paths = [["contract", "check"]];
  static override usage = Command.Usage({
    category: "Contracts",
    description: "Check contract files, each alone and all together",
    details: `Prints each fault with its file, line, section and key. Nothing is
published.

With --in-force the files are also checked against the capacity and the other
contracts in force, which are read from the log.

${EXIT_CODE_HELP}`,
    examples: [
      [
        "Check all contracts of a repository",
        "briarhill contract check contracts/agencia.ini contracts/maison.ini",
      ],
      [
        "Check against a capacity file",
        "briarhill contract check agencia.ini --capacity platform.ini",
      ],
    ],
  });

  readonly capacity: string | undefined = Option.String("--capacity", {
    description:
      "Capacity file to check against, instead of the capacity in force",
  });
  readonly inForce: boolean = Option.Boolean("--in-force", false, {
    description: "Also check against the capacity and the contracts in force",
  });
  readonly files: string[] = Option.Rest({ required: 1, name: "FILE" });

  override async runCommand(): Promise<CommandReport> {
    const state = this.inForce ? await this.#readState() : undefined;
    const capacity = this.capacity === undefined
      ? state && getCapacity(state)
      : parseCapacity(this.capacity, readTextFile(this.capacity));
    const { contracts, faults } = checkContractFiles(this.files, {
      capacity,
      inForce: state,
    });
    return createFaultReport(faults) ?? {
      code: ExitCode.Done,
      data: {
        faults,
        customers: contracts.map(({ structure }) => structure.customer),
      },
      lines: [`${contracts.length} contracts checked, no faults found`],
    };
  }

  async #readState() {
    const reader = new ConfigurationReader(this.openLog());
    await reader.readToEnd();
    return reader.getState();
  }
}
