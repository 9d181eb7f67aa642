/**
 * Reads the settings file of a node from disk.
 * @module
 */
import { SettingsError } from "@briarhill/common/errors/errors";
import { readFileSync } from "node:fs";
import { type NodeSettings, parseNodeSettings } from "./node_settings.ts";

/**
 * Reads and checks a settings file.
 *
 * @example
 * ```ts
 * const settings = readSettingsFile("node.ini");
 * ```
 * @param file - The path of the file.
 */
export function readSettingsFile(file: string): NodeSettings {
  return parseNodeSettings(file, readTextOrThrow(file));
}

function readTextOrThrow(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (cause) {
    // An error class appends the cause's message after a trailing colon.
    throw new SettingsError(
      `cannot read the settings file "${file}" (check the value of --config):`,
      {
        cause,
        props: { file },
      },
    );
  }
}
