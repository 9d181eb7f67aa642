/**
 * The command `drain`.
 * @module
 */
import {
  type ConfigurationChange,
  DRAIN_TARGET,
  getDrainSubject,
} from "@briarhill/control/configuration/configuration_record";
import { getRevision } from "@briarhill/control/configuration/configuration_state";
import { InputError } from "@briarhill/common/errors/errors";
import { Command, Option } from "clipanion";
import { ChangeCommand } from "../command/change_command.ts";
import { EXIT_CODE_HELP } from "../command/exit_code.ts";
import type { ConfigurationReader } from "../operator/configuration_reader.ts";

/** Declares a drain of a host, an endpoint or a failure domain, or undoes it. */
export class DrainCommand extends ChangeCommand {
  static override paths = [["drain"]];
  static override usage = Command.Usage({
    category: "Nodes",
    description: "Drain a host, an endpoint or a failure domain",
    details:
      `KIND is host, endpoint or failure-domain. While the drain is in force,
the target gets no new work, and running work finishes. Use --undo to end the
drain.

${EXIT_CODE_HELP}`,
    examples: [
      [
        "Drain a failure domain",
        "briarhill drain failure-domain bogota-2 --wait",
      ],
      ["End the drain", "briarhill drain failure-domain bogota-2 --undo"],
    ],
  });

  readonly undo: boolean = Option.Boolean("--undo", false, {
    description: "End a drain that was declared before",
  });
  readonly kind: string = Option.String({ name: "KIND" });
  readonly name: string = Option.String({ name: "NAME" });

  override buildChange(reader: ConfigurationReader): ConfigurationChange {
    const { data: target, error } = DRAIN_TARGET.safeParse({
      kind: this.kind,
      name: this.name,
    });
    if (target === undefined) {
      throw new InputError(
        `cannot drain ${this.kind} "${this.name}": ` +
          `${error.issues[0]?.message}`,
      );
    }
    return {
      kind: "drain",
      target,
      draining: !this.undo,
      basedOn: getRevision(reader.getState(), getDrainSubject(target)),
    };
  }
}
