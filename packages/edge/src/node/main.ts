/**
 * The command `briarhilld` on the users' platform: runs one host until SIGTERM.
 * Exits with 0 after a stop, 2 on an error of this project's own types, such as
 * invalid settings, and 1 on any other error.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import { Logger, setLogWriter } from "@briarhill/common/logging/logger";
import { SETTINGS_VARIABLE } from "@briarhill/platform/names/settings_file";
import { readFileSync } from "node:fs";
import process from "node:process";
import { LogWriter } from "../observe/log_writer.ts";
import { parseHostSettings } from "../settings/host_settings.ts";
import { EntryHost } from "./entry_host.ts";

const EXIT_SETTINGS = 2;

async function runHost(): Promise<void> {
  const writer = new LogWriter();
  setLogWriter((line) => writer.writeLine(line));
  const path = process.env[SETTINGS_VARIABLE] ?? "";
  const settings = parseHostSettings(path, readFileSync(path, "utf8"));
  const logger = Logger.create({ host: settings.host });
  const host = new EntryHost(settings, logger);
  process.on("SIGHUP", () => {
    // Addresses can't change while they are in use; all other settings are read at the next start.
    logger.info("settings-reloaded", { path });
  });
  // Without a listener, a second signal would end the process at once.
  process.on("SIGTERM", () => {
    void host.stop().then(() => process.exit(0));
  });
  // An error at one request must not end the process with all others.
  process.on(
    "unhandledRejection",
    (error) => logger.error("unexpected-error", error),
  );
  await host.start();
}

runHost().catch((error: unknown) => {
  const isKnown = error instanceof BriarhillError;
  process.stderr.write(
    `briarhilld: ${isKnown ? error.message : String(error)}\n`,
  );
  process.exit(isKnown ? EXIT_SETTINGS : 1);
});
