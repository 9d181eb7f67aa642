/**
 * The soak command: plays seeds one after the other and names broken promises.
 * @module
 */
import { Builtins, Cli, Command, Option } from "clipanion";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { SoakRun } from "./soak_run.ts";

const ROOT = fileURLToPath(new URL("../../../../../", import.meta.url));
const PROGRAM = join(ROOT, "target/briarhilld.cjs");
const FIRST_PORT = 21_600;

class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Plays seeded series of faults against real processes",
    examples: [["Ten seeds", "npm run soak -- --first 1 --count 10"]],
  });

  readonly first = Option.String("--first", "1", {
    description: "The first seed",
  });
  readonly count = Option.String("--count", "1", {
    description: "How many seeds",
  });
  readonly seconds = Option.String("--seconds", "8", {
    description: "How long faults come, for each seed",
  });
  readonly hosts = Option.String("--hosts", "3", {
    description: "How many hosts",
  });
  readonly logs = Option.String("--logs", "out/soak", {
    description: "Where logs of failed seeds are written",
  });

  override async execute(): Promise<number> {
    const first = Number(this.first);
    let failed = 0;
    for (let seed = first; seed < first + Number(this.count); seed++) {
      const report = await new SoakRun({
        seed,
        durationMs: 1_000 * Number(this.seconds),
        hosts: Number(this.hosts),
        port: FIRST_PORT,
        program: PROGRAM,
      }).run();
      const { breaches, calls, served, lots } = report;
      this.context.stdout.write(
        `seed ${seed}: ${lots} lots, ${served} of ${calls} calls served, ` +
          `${breaches.length} breaches\n`,
      );
      for (const { promise, detail } of breaches) {
        this.context.stdout.write(`  broken: ${promise}: ${detail}\n`);
      }
      if (breaches.length > 0) {
        failed++;
        this.#writeLogs(seed, report.logs);
      }
    }
    return failed === 0 ? 0 : 1;
  }

  #writeLogs(seed: number, logs: readonly (readonly string[])[]): void {
    mkdirSync(this.logs, { recursive: true });
    logs.forEach((lines, host) =>
      writeFileSync(
        join(this.logs, `seed-${seed}-host-${host}.log`),
        lines.join(""),
      )
    );
  }
}

/** Ends by an exit, so that the hosts are killed first. */
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}

const cli = new Cli({
  binaryName: "soak",
  binaryLabel: "Fault soak of briarhill",
  enableCapture: false,
});
cli.register(Builtins.HelpCommand);
cli.register(SoakCommand);
process.exit(await cli.run(process.argv.slice(2)));
