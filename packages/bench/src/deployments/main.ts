/**
 * Implements the command that runs an example deployment against stand-ins.
 * @module
 */
import { Builtins, Cli, Command, Option } from "clipanion";
import process from "node:process";
import { Deployment } from "./deployment.ts";
import { readDeployment } from "./deployment_files.ts";
import { DEFAULT_OPTIONS, QUICK_OPTIONS } from "./deployment_options.ts";
import {
  buildReport,
  formatReport,
  isDeploymentSound,
} from "./deployment_report.ts";

class DeploymentCommand extends Command {
  static override paths: string[][] = [Command.Default];
  static override usage: ReturnType<typeof Command.Usage> = Command.Usage({
    description: "Runs an example deployment against stand-ins",
    examples: [[
      "The deployment of the fan pleaters",
      "npm run deployment -- maison",
    ]],
  });

  readonly quick: boolean = Option.Boolean("--quick", false, {
    description: "Make the short run of CI, on free ports",
  });
  readonly seconds: string | undefined = Option.String("--seconds", {
    description:
      "Seconds during which calls are started; started calls are completed",
  });
  readonly seed: string = Option.String("--seed", "1", {
    description: "Seed of the random load",
  });
  readonly json: boolean = Option.Boolean("--json", false, {
    description: "Print one JSON document",
  });
  readonly name: string = Option.String();

  override async execute(): Promise<number> {
    const options = this.quick ? QUICK_OPTIONS : DEFAULT_OPTIONS;
    const deployment = new Deployment(readDeployment(this.name), {
      ...options,
      seconds: Number(this.seconds ?? options.seconds),
      seed: Number(this.seed),
    });
    const run = await deployment.run();
    const report = buildReport(run);
    this.context.stdout.write(
      this.json
        ? JSON.stringify(report) + "\n"
        : formatReport(report, run.favours),
    );
    return isDeploymentSound(report) ? 0 : 1;
  }
}

const cli = new Cli({ binaryName: "deployment", enableCapture: false });
cli.register(Builtins.HelpCommand);
cli.register(DeploymentCommand);
process.exit(await cli.run(process.argv.slice(2)));
