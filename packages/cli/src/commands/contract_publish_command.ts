/**
 * The command `contract publish`.
 * @module
 */
import {
  type ConfigurationChange,
  getContractSubject,
} from "@briarhill/control/configuration/configuration_record";
import {
  getCapacity,
  getRevision,
} from "@briarhill/control/configuration/configuration_state";
import { InputError } from "@briarhill/common/errors/errors";
import { Command, Option } from "clipanion";
import { ChangeCommand } from "../command/change_command.ts";
import { EXIT_CODE_HELP } from "../command/exit_code.ts";
import type { CommandReport } from "../command/operator_command.ts";
import type { ConfigurationReader } from "../operator/configuration_reader.ts";
import {
  checkContractFiles,
  createFaultReport,
  toRecordSections,
} from "../operator/contract_files.ts";

/** Publishes a complete contract. */
export class ContractPublishCommand extends ChangeCommand {
  static override paths = [["contract", "publish"]];
  static override usage = Command.Usage({
    category: "Contracts",
    description: "Publish a customer's complete contract",
    details:
      `Checks the contract against the capacity and the other contracts in
force before it is published.

Of two changes that are based on the same revision, the first one in the log is
accepted and the other one is a conflict. Give --based-on to publish only if no
one else has changed the contract since; without it the change is based on the
revision in force.

${EXIT_CODE_HELP}`,
    examples: [
      [
        "Publish and wait until it is in force everywhere",
        "briarhill contract publish agencia.ini --wait",
      ],
      [
        "Publish only if revision 17 is still in force",
        "briarhill contract publish agencia.ini --based-on 17",
      ],
    ],
  });

  readonly basedOn: string | undefined = Option.String("--based-on", {
    description:
      "Revision that the file is based on, -1 for none (default: the one in force)",
  });
  readonly file: string = Option.String({ name: "FILE" });

  override buildChange(
    reader: ConfigurationReader,
  ): ConfigurationChange | CommandReport {
    const state = reader.getState();
    const { contracts, faults } = checkContractFiles([this.file], {
      capacity: getCapacity(state),
      inForce: state,
    });
    const [contract] = contracts;
    const report = createFaultReport(faults);
    if (report !== undefined || contract === undefined) {
      return report ?? { code: 2, data: {}, lines: [] };
    }
    const { customer } = contract.structure;
    return {
      kind: "contract",
      customer,
      basedOn: parseRevision(this.basedOn) ??
        getRevision(state, getContractSubject(customer)),
      sections: toRecordSections(contract.source.sections),
    };
  }
}

function parseRevision(text: string | undefined): number | undefined {
  if (text !== undefined && !/^(-1|\d+)$/.test(text)) {
    throw new InputError(
      `invalid --based-on "${text}": expected a revision number or -1`,
    );
  }
  return text === undefined ? undefined : Number(text);
}
