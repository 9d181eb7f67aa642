/**
 * The command `briarhilld`: runs one node until SIGTERM or SIGINT. The ports it
 * listens on are written to standard output as JSON, log lines to standard error.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import { setLogWriter } from "@briarhill/common/logging/logger";
import { readPackageVersion } from "@briarhill/common/packages/package_version";
import { Builtins, Cli, Command, Option } from "clipanion";
import { once } from "node:events";
import process from "node:process";
import { readSettingsFile } from "../settings/settings_file.ts";
import { createNode } from "./create_node.ts";

const PACKAGE_FILE = new URL("../../../package.json", import.meta.url);
const SETTINGS_ERROR_EXIT_CODE = 2;

class RunCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description:
      "Runs one node until SIGTERM or SIGINT, then shuts it down gracefully",
    examples: [[
      "Run a node with the settings in node.ini",
      "briarhilld --config node.ini",
    ]],
  });

  readonly config = Option.String("--config", {
    required: true,
    description: "Path of the INI file with the settings of this node",
  });

  override async execute(): Promise<number> {
    setLogWriter((line) => process.stderr.write(line + "\n"));
    const stopSignal = Promise.race([
      once(process, "SIGTERM"),
      once(process, "SIGINT"),
    ]);
    const node = createNode(readSettingsFile(this.config));
    const ports = await node.start();
    this.context.stdout.write(JSON.stringify(ports) + "\n");
    await stopSignal;
    await node.stop();
    return 0;
  }

  override catch(error: unknown): Promise<void> {
    if (!(error instanceof BriarhillError)) {
      throw error;
    }
    this.context.stderr.write(`briarhilld: ${error.message}\n`);
    process.exitCode = SETTINGS_ERROR_EXIT_CODE;
    return Promise.resolve();
  }
}

const cli = new Cli({
  binaryName: "briarhilld",
  binaryLabel: "briarhill node",
  binaryVersion: readPackageVersion(PACKAGE_FILE),
  enableCapture: false,
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(RunCommand);
const code = await cli.run(process.argv.slice(2));
process.exit(process.exitCode ?? code);
