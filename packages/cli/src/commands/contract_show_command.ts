/**
 * The command `contract show`.
 * @module
 */
import { throwIfUndefined } from "@briarhill/common/errors/throw_if";
import { formatContract } from "@briarhill/contract/contract/contract_text";
import {
  type ConfigurationState,
  findContract,
  listContracts,
} from "@briarhill/control/configuration/configuration_state";
import { Command, Option } from "clipanion";
import { EXIT_CODE_HELP, ExitCode } from "../command/exit_code.ts";
import {
  type CommandReport,
  OperatorCommand,
} from "../command/operator_command.ts";
import { ConfigurationReader } from "../operator/configuration_reader.ts";

/** Shows one or all of the contracts in force. */
export class ContractShowCommand extends OperatorCommand {
  static override paths = [["contract", "show"]];
  static override usage = Command.Usage({
    category: "Contracts",
    description: "Show the contract in force of one customer, or of all",
    details: `The output can be edited and published again.

Contracts are read from the log. When no log address is set, they are read from
the first --node, which also works while the log is unreachable.

${EXIT_CODE_HELP}`,
    examples: [
      ["Save a contract", "briarhill contract show agencia > agencia.ini"],
      [
        "Read from a node",
        "briarhill contract show agencia --node http://127.0.0.1:9090",
      ],
    ],
  });

  readonly customer: string | undefined = Option.String({
    name: "CUSTOMER",
    required: false,
  });

  override async runCommand(): Promise<CommandReport> {
    const state = await this.#readState();
    const { customer } = this;
    const contracts = customer === undefined ? listContracts(state) : [
      throwIfUndefined(
        findContract(state, customer),
        `cannot show: customer "${customer}" has no contract in force`,
      ),
    ];
    return {
      code: ExitCode.Done,
      data: contracts.map(({ revision, structure }) => ({
        revision,
        structure,
      })),
      lines: contracts.flatMap(({ revision, structure }) => [
        `; revision ${revision}`,
        formatContract(structure),
      ]),
    };
  }

  async #readState(): Promise<ConfigurationState> {
    const { log, nodes: [node] } = this.getSettings();
    if (log === undefined && node !== undefined) {
      return throwIfUndefined(
        await this.context.client.fetchConfiguration(node),
        `node ${node} returned no complete configuration; try another --node, or --log`,
      );
    }
    const reader = new ConfigurationReader(this.openLog());
    await reader.readToEnd();
    return reader.getState();
  }
}
