/**
 * The command that runs the stand-ins as one process.
 * @module
 */
import { Command, Option } from "clipanion";
import { once } from "node:events";
import process from "node:process";
import * as t from "typanion";
import type { StandInsSettings } from "./stand_ins_settings.ts";
import { startStandIns } from "./stand_ins.ts";

const DEFAULT_FIRST_PORT = 9100;

/** Runs the stand-ins until a signal ends them. */
export class StandInsCommand extends Command {
  static override paths: string[][] = [Command.Default];
  static override usage: ReturnType<typeof Command.Usage> = Command.Usage({
    description: "Run stand-ins for the platform, engines and services.",
    examples: [[
      "Six engines from port 9200 on",
      "standins --engines 6 --port 9200",
    ]],
  });

  firstPort: number = Option.String("--port", `${DEFAULT_FIRST_PORT}`, {
    validator: t.isNumber(),
    description: "The first port; the others follow.",
  });
  engines: number | undefined = Option.String("--engines", {
    validator: t.isNumber(),
    description: "How many engines.",
  });
  services: string[] | undefined = Option.Array("--service", {
    description: "The service of one service endpoint; may be repeated.",
  });
  failureDomains: string[] | undefined = Option.Array("--failure-domain", {
    description: "A failure domain of the endpoints; may be repeated.",
  });
  models: string[] | undefined = Option.Array("--model", {
    description: "A model that all engines serve; may be repeated.",
  });

  override async execute(): Promise<void> {
    const standIns = await startStandIns(this.#readSettings());
    this.context.stdout.write(JSON.stringify(standIns.getAddresses()) + "\n");
    await Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
    await standIns.stop();
  }

  #readSettings(): Partial<StandInsSettings> {
    const { engines, services, failureDomains, models } = this;
    return {
      firstPort: this.firstPort,
      ...(engines === undefined ? {} : { engines }),
      ...(services === undefined ? {} : { services }),
      ...(failureDomains === undefined ? {} : { failureDomains }),
      ...(models === undefined ? {} : {
        models: Object.fromEntries(models.map((model) => [model, 1])),
      }),
    };
  }
}
