/**
 * The command `contract remove`.
 * @module
 */
import { throwIfUndefined } from "@briarhill/common/errors/throw_if";
import type { ConfigurationChange } from "@briarhill/control/configuration/configuration_record";
import { findContract } from "@briarhill/control/configuration/configuration_state";
import { Command, Option } from "clipanion";
import { ChangeCommand } from "../command/change_command.ts";
import { EXIT_CODE_HELP } from "../command/exit_code.ts";
import type { ConfigurationReader } from "../operator/configuration_reader.ts";

/** Removes a customer's contract. */
export class ContractRemoveCommand extends ChangeCommand {
  static override paths = [["contract", "remove"]];
  static override usage = Command.Usage({
    category: "Contracts",
    description: "Remove a customer's contract",
    details: EXIT_CODE_HELP,
    examples: [[
      "Remove a contract and wait until the removal is in force everywhere",
      "briarhill contract remove agencia --wait",
    ]],
  });

  readonly customer: string = Option.String({ name: "CUSTOMER" });

  override buildChange(reader: ConfigurationReader): ConfigurationChange {
    const { customer } = this;
    const contract = throwIfUndefined(
      findContract(reader.getState(), customer),
      `cannot remove: customer "${customer}" has no contract in force`,
    );
    return { kind: "removal", customer, basedOn: contract.revision };
  }
}
