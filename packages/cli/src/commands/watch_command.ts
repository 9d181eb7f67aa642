/**
 * The command `watch`.
 * @module
 */
import { Command, Option } from "clipanion";
import { EXIT_CODE_HELP, ExitCode } from "../command/exit_code.ts";
import {
  type CommandReport,
  OperatorCommand,
} from "../command/operator_command.ts";
import { fetchFromNodes } from "../operator/node_poll.ts";

const DEFAULT_INTERVAL_MS = 1_000;

/** Prints each change of the revision or the readiness of the nodes. */
export class WatchCommand extends OperatorCommand {
  static override paths = [["watch"]];
  static override usage = Command.Usage({
    category: "Nodes",
    description: "Print each change of the revision and the readiness of nodes",
    details:
      `Polls the nodes until it is interrupted or has made --rounds polls.
With --json each change is printed as one line of JSON.

${EXIT_CODE_HELP}`,
    examples: [[
      "Follow a rollout",
      "briarhill watch --node http://127.0.0.1:9090",
    ]],
  });

  readonly interval: string | undefined = Option.String("--interval-ms", {
    description:
      `Interval between polls in milliseconds (default: ${DEFAULT_INTERVAL_MS})`,
  });
  readonly rounds: string | undefined = Option.String("--rounds", {
    description: "Number of polls (default: unlimited)",
  });

  override async runCommand(): Promise<CommandReport> {
    const nodes = this.getNodesOrThrow();
    const rounds = Number(this.rounds ?? Infinity);
    const intervalMs = Number(this.interval ?? DEFAULT_INTERVAL_MS);
    const { clock, signal } = this.context;
    const lastStates = new Map<string, string>();
    for (let round = 0; round < rounds && !signal.aborted; round++) {
      await this.#printChanges(nodes, lastStates);
      if (round + 1 < rounds) {
        await clock.sleep(intervalMs, signal);
      }
    }
    return { code: ExitCode.Done, data: { ended: true }, lines: [] };
  }

  async #printChanges(
    nodes: readonly string[],
    lastStates: Map<string, string>,
  ): Promise<void> {
    const responses = await fetchFromNodes(
      nodes,
      (node) => this.context.client.fetchStatus(node),
    );
    for (const { address, answer } of responses) {
      const state = answer === undefined
        ? "unreachable"
        : `revision ${answer.revision}${answer.ready ? "" : ", not ready"}` +
          (answer.accepting ? "" : ", not accepting");
      if (lastStates.get(address) !== state) {
        lastStates.set(address, state);
        const host = answer?.host ?? address;
        const data = { address, host, state };
        this.print({ code: 0, data, lines: [`${host}  ${state}`] });
      }
    }
  }
}
