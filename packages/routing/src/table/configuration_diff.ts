/**
 * Compares two versions of a routing configuration, entry by entry.
 * @module
 */
import { formatDigest } from "../workspaces/key_digest.ts";
import type { RoutingConfiguration } from "./route.ts";

/** A value that differs; `before` or `after` is undefined if the entry is absent there. */
export interface ConfigurationDifference {
  /** The entry, such as `route "names"`. */
  readonly entry: string;
  /** The field that differs; empty if the whole entry was added or removed. */
  readonly field: string;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

type Entry = Readonly<Record<string, unknown>>;

/**
 * Returns the entries and fields that differ between two configurations. Keys of
 * workspaces are shown by the beginnings of their digests.
 *
 * @example
 * ```ts
 * declare const inForce: RoutingConfiguration;
 * declare const next: RoutingConfiguration;
 *
 * const differences = compareConfigurations(inForce, next);
 * ```
 * @param before - The configuration in force.
 * @param after - The configuration to publish.
 */
export function compareConfigurations(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): readonly ConfigurationDifference[] {
  const older = listEntries(before);
  const newer = listEntries(after);
  const names = [...new Set([...older.keys(), ...newer.keys()])];
  return names.flatMap((name) =>
    compareEntry(name, older.get(name), newer.get(name))
  );
}

function compareEntry(
  entry: string,
  before: Entry | undefined,
  after: Entry | undefined,
): readonly ConfigurationDifference[] {
  if (before === undefined || after === undefined) {
    const toMark = (present: Entry | undefined) =>
      present === undefined ? undefined : "present";
    return [
      { entry, field: "", before: toMark(before), after: toMark(after) },
    ];
  }
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return fields.flatMap((field) => {
    const older = formatValue(before[field]);
    const newer = formatValue(after[field]);
    return older === newer ? [] : [{
      entry,
      field,
      before: older,
      after: newer,
    }];
  });
}

function listEntries(
  configuration: RoutingConfiguration,
): ReadonlyMap<string, Entry> {
  return new Map<string, Entry>([
    ["configuration", { version: configuration.version }],
    ...configuration.routes.map((route) =>
      [`route "${route.name}"`, { ...route }] as const
    ),
    ...configuration.services.map((service) =>
      [`service "${service.name}"`, { ...service }] as const
    ),
    ["limits", { ...configuration.limits }],
    ...configuration.workspaces.map((workspace) =>
      [`workspace "${workspace.name}"`, {
        ...workspace,
        keyDigests: workspace.keyDigests.map(formatDigest),
      }] as const
    ),
  ]);
}

function formatValue(value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value);
}
