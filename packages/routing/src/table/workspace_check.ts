/**
 * Checks the workspaces of a routing configuration before it is published.
 * @module
 */
import { formatDigest } from "../workspaces/key_digest.ts";
import type { ConfigurationFinding } from "./configuration_finding.ts";
import type { RoutingConfiguration } from "./route.ts";

/**
 * Returns the faults of the workspaces of a configuration.
 *
 * @example
 * ```ts
 * declare const configuration: RoutingConfiguration;
 *
 * const findings = checkWorkspaces(configuration);
 * ```
 * @param configuration - The decoded configuration.
 */
export function checkWorkspaces(
  { workspaces, routes }: RoutingConfiguration,
): readonly ConfigurationFinding[] {
  const holders = new Map<string, string>();
  const findings: ConfigurationFinding[] = [];
  for (const { name, keyDigests } of workspaces) {
    const entry = `workspace "${name}"`;
    if (keyDigests.length === 0) {
      findings.push({
        severity: "warning",
        entry,
        message: "has no key, so that no caller can use it",
      });
    }
    for (const digest of keyDigests) {
      const holder = holders.get(digest);
      if (holder !== undefined) {
        findings.push({
          severity: "error",
          entry,
          message: `holds the key with digest ${
            formatDigest(digest)
          }, which workspace "${holder}" holds as well`,
        });
      }
      holders.set(digest, holder ?? name);
    }
  }
  const isUnusable = routes.length > 0 && workspaces.length > 0 &&
    holders.size === 0 && !routes.some(({ isPublic }) => isPublic);
  return isUnusable
    ? [...findings, {
      severity: "error",
      entry: "configuration",
      message: "no workspace has a key and no route is public",
    }]
    : findings;
}
