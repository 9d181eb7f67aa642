/**
 * Reads the settings of the `briarhill` command. Command-line options take
 * precedence over environment variables, and these over the settings file.
 * @module
 */
import { InputError, SettingsError } from "@briarhill/common/errors/errors";
import { IniDocument } from "@briarhill/common/settings/ini_document";
import { parseIniSection } from "@briarhill/common/settings/ini_section";
import { readFileSync } from "node:fs";
import { z } from "zod";

/** The settings of the `briarhill` command. */
export interface OperatorSettings {
  /** The address of the log service, such as "http://127.0.0.1:9100". */
  readonly log: string | undefined;
  /** The admin addresses of the nodes. */
  readonly nodes: readonly string[];
  /** The name recorded as the author of changes. */
  readonly writer: string;
}

/** The settings given as command-line options. */
export interface OperatorOptions {
  readonly log?: string | undefined;
  readonly nodes?: readonly string[] | undefined;
  readonly writer?: string | undefined;
  readonly config?: string | undefined;
}

const OPERATOR_SECTION = z.strictObject({
  log: z.url().optional(),
  nodes: z.array(z.url()).optional(),
  writer: z.string().min(1).optional(),
});

/**
 * Returns the settings merged from the options, the environment and the settings
 * file.
 *
 * @example
 * ```ts
 * const settings = readOperatorSettings({ log: "http://127.0.0.1:9100" }, process.env);
 * ```
 * @param options - The command-line options.
 * @param environment - The environment variables.
 */
export function readOperatorSettings(
  options: OperatorOptions,
  environment: Readonly<Record<string, string | undefined>>,
): OperatorSettings {
  const file = options.config ?? environment["BRIARHILL_CONFIG"];
  const fileSettings = file === undefined ? {} : readOperatorSection(file);
  const nodes = environment["BRIARHILL_NODES"]?.split(",")
    .filter((node) => node !== "");
  // An empty variable counts as unset.
  const log = options.log ?? (environment["BRIARHILL_LOG"] || fileSettings.log);
  const addresses = {
    log,
    nodes: options.nodes ?? nodes ?? fileSettings.nodes ?? [],
  };
  throwIfInvalidUrl([...addresses.nodes, ...(log === undefined ? [] : [log])]);
  return {
    ...addresses,
    writer: options.writer ?? environment["BRIARHILL_WRITER"] ??
      fileSettings.writer ?? environment["USER"] ?? "operator",
  };
}

function throwIfInvalidUrl(addresses: readonly string[]): void {
  const invalid = addresses.find((address) => !URL.canParse(address));
  if (invalid !== undefined) {
    throw new SettingsError(
      `invalid address "${invalid}": expected a URL such as http://127.0.0.1:9100`,
    );
  }
}

function readOperatorSection(file: string): z.output<typeof OPERATOR_SECTION> {
  const document = IniDocument.parse(file, readTextFile(file));
  return parseIniSection(document, {
    section: "operator",
    schema: OPERATOR_SECTION,
    errorClass: SettingsError,
  });
}

/**
 * Reads a text file; throws an `InputError` when the file can't be read.
 *
 * @example
 * ```ts
 * const text = readTextFile("agencia.ini");
 * ```
 * @param file - The path of the file.
 */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (cause) {
    throw new InputError(`cannot read the file "${file}"`, {
      cause,
      props: { file },
    });
  }
}
