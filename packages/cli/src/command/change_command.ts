/**
 * The base class of the commands that append a change to the configuration log:
 * it reads the configuration in force, publishes the change and reports the
 * verdict. A command checks its change before anything is appended.
 * @module
 */
import type {
  ConfigurationChange,
} from "@briarhill/control/configuration/configuration_record";
import { Option } from "clipanion";
import {
  ConfigurationPublisher,
  type Publication,
} from "../operator/configuration_publisher.ts";
import { ConfigurationReader } from "../operator/configuration_reader.ts";
import {
  type LaggingMember,
  waitUntilInForce,
} from "../operator/in_force_waiter.ts";
import { ExitCode } from "./exit_code.ts";
import { type CommandReport, OperatorCommand } from "./operator_command.ts";

const DEFAULT_TIMEOUT_MS = 15_000;

const OUTCOME_CODES = {
  accepted: ExitCode.Done,
  rejected: ExitCode.Conflict,
  notRun: ExitCode.NotRun,
  unknown: ExitCode.Unknown,
} as const;

/** Base class of the commands that publish a configuration change. */
export abstract class ChangeCommand extends OperatorCommand {
  readonly wait: boolean = Option.Boolean("--wait", false, {
    description: "Wait until the change is in force on every member",
  });
  readonly timeout: string | undefined = Option.String("--timeout-ms", {
    description:
      `Timeout of --wait in milliseconds (default: ${DEFAULT_TIMEOUT_MS})`,
  });

  /**
   * Checks the change against the configuration in force and returns it, or
   * returns a report, with which the command ends without publishing anything.
   *
   * @param reader - A reader that has read the configuration log to its end.
   */
  abstract buildChange(
    reader: ConfigurationReader,
  ): ConfigurationChange | CommandReport;

  override async runCommand(): Promise<CommandReport> {
    const nodes = this.wait ? this.getNodesOrThrow() : [];
    const log = this.openLog();
    const reader = new ConfigurationReader(log);
    await reader.readToEnd();
    const change = this.buildChange(reader);
    if ("code" in change) {
      return change;
    }
    const { writer } = this.getSettings();
    const { clock } = this.context;
    const publisher = new ConfigurationPublisher({
      log,
      clock,
      reader,
      writer,
    });
    const publication = await publisher.publish(change);
    const revision = publication.verdict?.offset;
    return this.wait && publication.outcome === "accepted" &&
        revision !== undefined
      ? this.#createReport(
        publication,
        await this.#waitUntilInForce(nodes, revision),
      )
      : this.#createReport(publication, []);
  }

  #waitUntilInForce(
    nodes: readonly string[],
    revision: number,
  ): Promise<readonly LaggingMember[]> {
    const timeoutMs = Number(this.timeout ?? DEFAULT_TIMEOUT_MS);
    return waitUntilInForce(this.context, { nodes, revision, timeoutMs });
  }

  #createReport(
    publication: Publication,
    lagging: readonly LaggingMember[],
  ): CommandReport {
    const { outcome, verdict } = publication;
    const code = outcome === "rejected" && verdict?.verdict !== "conflict"
      ? ExitCode.Faults
      : OUTCOME_CODES[outcome];
    const inForce = verdict?.inForce;
    const data = {
      outcome,
      revision: outcome === "accepted" ? verdict?.offset : undefined,
      message: verdict?.message ?? "",
      inForce: inForce && { revision: inForce.revision, ...inForce.id },
      lagging,
    };
    return {
      code: lagging.length > 0 ? ExitCode.Lagging : code,
      data,
      lines: [
        formatOutcome(publication),
        ...lagging.map(({ name, reason, revision }) =>
          `lagging: ${name} (${reason}; revision in force: ${
            revision ?? "unknown"
          })`
        ),
      ],
    };
  }
}

function formatOutcome({ outcome, verdict }: Publication): string {
  switch (outcome) {
    case "accepted":
      return `accepted as revision ${verdict?.offset}`;
    case "rejected":
      return `rejected, nothing changed: ${verdict?.message}`;
    case "notRun":
      return "not published: the log did not accept the record; it is safe to run the command again";
    case "unknown":
      return "outcome unknown: the log did not confirm the record; see 'briarhill contract history'";
  }
}
