/**
 * The command `histograms`.
 * @module
 */
import { Command, Option } from "clipanion";
import { EXIT_CODE_HELP, ExitCode } from "../command/exit_code.ts";
import {
  type CommandReport,
  OperatorCommand,
} from "../command/operator_command.ts";
import { fetchFromNodes } from "../operator/node_poll.ts";

/** Shows the histograms of each customer and request class. */
export class HistogramsCommand extends OperatorCommand {
  static override paths = [["histograms"]];
  static override usage = Command.Usage({
    category: "Nodes",
    description: "Show the histograms of each customer and request class",
    details: EXIT_CODE_HELP,
    examples: [[
      "Show those of one customer",
      "briarhill histograms --customer agencia",
    ]],
  });

  readonly customer: string | undefined = Option.String("--customer", {
    description: "Show only this customer",
  });

  override async runCommand(): Promise<CommandReport> {
    const responses = await fetchFromNodes(
      this.getNodesOrThrow(),
      (node) => this.context.client.fetchHistograms(node),
    );
    const rows = responses.flatMap(({ address, answer }) =>
      (answer ?? [])
        .filter(({ customer }) => [undefined, customer].includes(this.customer))
        .map((row) => ({ address, ...row }))
    );
    const unreachable = responses.filter(({ answer }) => answer === undefined);
    return {
      code: unreachable.length > 0 ? ExitCode.Unreachable : ExitCode.Done,
      data: rows,
      lines: [
        ...rows.map((row) =>
          `${row.address}  ${row.customer}  ${row.requestClass}  ${row.metric}` +
          `  n=${row.count} p50=${row.p50} p90=${row.p90} p99=${row.p99}` +
          ` max=${row.max}`
        ),
        ...unreachable.map(({ address }) => `${address}  unreachable`),
      ],
    };
  }
}
