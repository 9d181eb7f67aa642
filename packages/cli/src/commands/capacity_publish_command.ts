/**
 * The command `capacity publish`.
 * @module
 */
import { parseCapacity } from "@briarhill/contract/contract/capacity";
import { checkContracts } from "@briarhill/contract/contract/contract_checks";
import type { ConfigurationChange } from "@briarhill/control/configuration/configuration_record";
import {
  getRevision,
  listContracts,
} from "@briarhill/control/configuration/configuration_state";
import { Command, Option } from "clipanion";
import { ChangeCommand } from "../command/change_command.ts";
import { EXIT_CODE_HELP } from "../command/exit_code.ts";
import type { CommandReport } from "../command/operator_command.ts";
import type { ConfigurationReader } from "../operator/configuration_reader.ts";
import { createFaultReport } from "../operator/contract_files.ts";
import { readTextFile } from "../operator/operator_settings.ts";

/** Publishes the platform's capacity after checking all contracts against it. */
export class CapacityPublishCommand extends ChangeCommand {
  static override paths = [["capacity", "publish"]];
  static override usage = Command.Usage({
    category: "Platform",
    description: "Publish the platform's capacity, the limit of all contracts",
    details: EXIT_CODE_HELP,
    examples: [[
      "Publish and wait until it is in force everywhere",
      "briarhill capacity publish platform.ini --wait",
    ]],
  });

  readonly file: string = Option.String({ name: "FILE" });

  override buildChange(
    reader: ConfigurationReader,
  ): ConfigurationChange | CommandReport {
    const state = reader.getState();
    const capacity = parseCapacity(this.file, readTextFile(this.file));
    const faults = checkContracts(listContracts(state), capacity);
    return createFaultReport(faults) ?? {
      kind: "capacity",
      basedOn: getRevision(state, "capacity"),
      capacity: JSON.parse(JSON.stringify(capacity)),
    };
  }
}
