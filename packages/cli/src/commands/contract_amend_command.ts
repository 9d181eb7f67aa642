/**
 * The command `contract amend`.
 * @module
 */
import {
  checkAmendment,
  mergeAmendment,
  parseAmendment,
} from "@briarhill/contract/contract/amendment";
import type { ConfigurationChange } from "@briarhill/control/configuration/configuration_record";
import {
  findContract,
  getCapacity,
} from "@briarhill/control/configuration/configuration_state";
import { throwIfUndefined } from "@briarhill/common/errors/throw_if";
import { Command, Option } from "clipanion";
import { ChangeCommand } from "../command/change_command.ts";
import { EXIT_CODE_HELP } from "../command/exit_code.ts";
import type { CommandReport } from "../command/operator_command.ts";
import type { ConfigurationReader } from "../operator/configuration_reader.ts";
import {
  checkContractSet,
  createFaultReport,
  toRecordSections,
} from "../operator/contract_files.ts";
import { readTextFile } from "../operator/operator_settings.ts";

/** Publishes an amendment: only the values of a contract that change. */
export class ContractAmendCommand extends ChangeCommand {
  static override paths = [["contract", "amend"]];
  static override usage = Command.Usage({
    category: "Contracts",
    description: "Change some values of a contract and retain all others",
    details:
      `The section [amend] of the file names the customer and, optionally,
the revision that the amendment is based on (based_on) and the keys to remove
(remove[]). The other sections hold the keys that get new values.

Without based_on the amendment is based on the revision in force.

${EXIT_CODE_HELP}`,
    examples: [
      [
        "Amend and wait until it is in force everywhere",
        "briarhill contract amend more_share.ini --wait",
      ],
    ],
  });

  readonly file: string = Option.String({ name: "FILE" });

  override buildChange(
    reader: ConfigurationReader,
  ): ConfigurationChange | CommandReport {
    const state = reader.getState();
    const parsed = parseAmendment(this.file, readTextFile(this.file));
    const { amendment, source } = parsed;
    const contract = throwIfUndefined(
      findContract(state, amendment.customer),
      `cannot amend: customer "${amendment.customer}" has no contract in force`,
    );
    const faults = checkAmendment(contract.structure, parsed);
    const structure = faults.length === 0
      ? mergeAmendment(contract.structure, amendment)
      : contract.structure;
    const allFaults = faults.length > 0 ? faults : checkContractSet(
      [{ structure, source }],
      { capacity: getCapacity(state), inForce: state },
    );
    return createFaultReport(allFaults) ?? {
      kind: "amendment",
      customer: amendment.customer,
      basedOn: amendment.basedOn ?? contract.revision,
      sections: toRecordSections(amendment.sections),
      removed: [...amendment.removed],
    };
  }
}
