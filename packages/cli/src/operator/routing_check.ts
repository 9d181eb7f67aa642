/**
 * Checks the text of a routing configuration with the decoder that hosts use.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { decodeConfiguration } from "@briarhill/platform/records/configuration_decoder";
import { checkConfiguration } from "@briarhill/routing/table/configuration_check";
import {
  compareConfigurations,
  type ConfigurationDifference,
} from "@briarhill/routing/table/configuration_diff";
import type { ConfigurationFinding } from "@briarhill/routing/table/configuration_finding";
import type { RoutingConfiguration } from "@briarhill/routing/table/route";
import { Buffer } from "node:buffer";

/** A routing configuration as text, and the file that holds it. */
export interface RoutingText {
  readonly file: string;
  readonly text: string;
}

/** The result of a check of one routing configuration. */
export interface RoutingCheck {
  readonly hasErrors: boolean;
  readonly data: {
    readonly file: string;
    readonly version: number;
    readonly findings: readonly ConfigurationFinding[];
    readonly differences: readonly ConfigurationDifference[];
  };
  readonly lines: readonly string[];
}

/**
 * Returns whether a text is a routing configuration: a JSON object.
 *
 * @example
 * ```ts
 * const isRouting = isRoutingText('{"version":1}');
 * ```
 * @param text - The content of a file.
 */
export function isRoutingText(text: string): boolean {
  return text.trimStart().startsWith("{");
}

/**
 * Checks a routing configuration, and compares it with the one in force. Throws an
 * {@link InputError} that names the file if hosts could not decode it.
 *
 * @example
 * ```ts
 * const { lines } = checkRoutingText(
 *   { file: "next.json", text: '{"version":2}' },
 *   { file: "in_force.json", text: '{"version":1}' },
 * );
 * ```
 * @param next - The configuration to check.
 * @param inForce - The configuration in force, if it is to be compared.
 */
export function checkRoutingText(
  next: RoutingText,
  inForce?: RoutingText,
): RoutingCheck {
  const { file } = next;
  const configuration = decodeText(next);
  const before = inForce === undefined ? undefined : decodeText(inForce);
  const findings = [
    ...checkConfiguration(configuration),
    ...checkVersion(configuration, before),
  ];
  const differences = before === undefined
    ? []
    : compareConfigurations(before, configuration);
  return {
    hasErrors: findings.some(({ severity }) => severity === "error"),
    data: { file, version: configuration.version, findings, differences },
    lines: formatLines(file, findings, differences),
  };
}

/** Hosts ignore a version that is not higher than the one they have. */
function checkVersion(
  { version }: RoutingConfiguration,
  before: RoutingConfiguration | undefined,
): readonly ConfigurationFinding[] {
  return before === undefined || version > before.version ? [] : [{
    severity: "error",
    entry: "configuration",
    message:
      `version is ${version}, expected more than ${before.version}, the version in force`,
  }];
}

function decodeText({ file, text }: RoutingText): RoutingConfiguration {
  try {
    return decodeConfiguration(Buffer.from(text));
  } catch (error) {
    if (!(error instanceof InputError)) {
      throw error;
    }
    throw new InputError(`${file}:`, { cause: error });
  }
}

function formatLines(
  file: string,
  findings: readonly ConfigurationFinding[],
  differences: readonly ConfigurationDifference[],
): readonly string[] {
  const faults = findings.map(({ severity, entry, message }) =>
    `${file}: ${severity}: ${entry}: ${message}`
  );
  const changes = differences.map(({ entry, field, before, after }) =>
    `${file}: ${entry}${field === "" ? "" : ` ${field}`}: ${
      before ?? "(none)"
    } -> ${after ?? "(none)"}`
  );
  return [
    ...(faults.length === 0 ? [`${file}: no faults found`] : faults),
    ...changes,
  ];
}
