/**
 * The command `status`.
 * @module
 */
import type { NodeStatus } from "@briarhill/control/configuration/node_status";
import { Command } from "clipanion";
import { EXIT_CODE_HELP, ExitCode } from "../command/exit_code.ts";
import {
  type CommandReport,
  OperatorCommand,
} from "../command/operator_command.ts";
import { fetchFromNodes, type NodeResponse } from "../operator/node_poll.ts";

/** Shows the status of each node. */
export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: "Nodes",
    description:
      "Show the revision, readiness, members and drains of each node",
    details: EXIT_CODE_HELP,
    examples: [[
      "Show one node",
      "briarhill status --node http://127.0.0.1:9090",
    ]],
  });

  override async runCommand(): Promise<CommandReport> {
    const responses = await fetchFromNodes(
      this.getNodesOrThrow(),
      (node) => this.context.client.fetchStatus(node),
    );
    return {
      code: getStatusExitCode(responses),
      data: responses,
      lines: responses.map(formatNodeStatus),
    };
  }
}

function getStatusExitCode(
  responses: readonly NodeResponse<NodeStatus>[],
): ExitCode {
  if (responses.some(({ answer }) => answer === undefined)) {
    return ExitCode.Unreachable;
  }
  const revisions = new Set(responses.map(({ answer }) => answer?.revision));
  return revisions.size > 1 ? ExitCode.Lagging : ExitCode.Done;
}

function formatNodeStatus(
  { address, answer }: NodeResponse<NodeStatus>,
): string {
  if (answer === undefined) {
    return `${address}  unreachable`;
  }
  const alive = answer.members.filter(({ state }) => state === "alive").length;
  return [
    answer.host,
    answer.ready ? "ready" : "not-ready",
    answer.accepting ? "accepting" : "not-accepting",
    `revision ${answer.revision}`,
    `${alive}/${answer.members.length} members alive`,
    ...answer.drains.map(({ kind, name }) => `draining ${kind} ${name}`),
  ].join("  ");
}
