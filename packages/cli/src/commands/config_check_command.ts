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
import { checkRoutingText, isRoutingText } from "../operator/routing_check.ts";

/** Checks settings files of nodes and routing configurations before they are used. */
export class ConfigCheckCommand extends OperatorCommand {
  static override paths = [["config", "check"]];
  static override usage = Command.Usage({
    category: "Nodes",
    description:
      "Check settings files of nodes, or a routing configuration, without contacting a node",
    details:
      `A file that holds a JSON object is a routing configuration: the check
prints errors, entries that can never match, limits that contradict each other,
and, with --against, what differs from the configuration in that file. Any other
file holds the settings of a node.

${EXIT_CODE_HELP}`,
    examples: [
      ["Check the settings of a node", "briarhill config check node.ini"],
      [
        "Check a routing configuration and compare it with the one in force",
        "briarhill config check next.json --against in_force.json",
      ],
    ],
  });

  readonly against: string | undefined = Option.String("--against", {
    description: "File with the routing configuration in force",
  });
  readonly files: string[] = Option.Rest({ required: 1, name: "FILE" });

  override runCommand(): Promise<CommandReport> {
    const texts = this.files.map((file) => ({
      file,
      text: readTextFile(file),
    }));
    const inForce = this.against === undefined
      ? undefined
      : { file: this.against, text: readTextFile(this.against) };
    const routing = texts.filter(({ text }) => isRoutingText(text))
      .map(({ file, text }) => checkRoutingText({ file, text }, inForce));
    const hosts = texts.filter(({ text }) => !isRoutingText(text))
      .map(({ file, text }) => parseNodeSettings(file, text).host);
    const hasErrors = routing.some(({ hasErrors }) => hasErrors);
    return Promise.resolve({
      code: hasErrors ? ExitCode.Faults : ExitCode.Done,
      data: { hosts, configurations: routing.map(({ data }) => data) },
      lines: [
        ...hosts.map((host) => `${host}: no faults found`),
        ...routing.flatMap(({ lines }) => lines),
      ],
    });
  }
}
