/**
 * Checks a routing configuration before it is published. An error is a fault
 * with which callers or trainers can't be served as the configuration says; a
 * warning is an entry that has no effect, or a likely mistake.
 * @module
 */
import type { ConfigurationFinding } from "./configuration_finding.ts";
import type { RouteStructure, RoutingConfiguration } from "./route.ts";
import { checkWorkspaces } from "./workspace_check.ts";

/**
 * Returns the faults of a configuration, errors first.
 *
 * @example
 * ```ts
 * declare const configuration: RoutingConfiguration;
 *
 * const findings = checkConfiguration(configuration);
 * ```
 * @param configuration - The decoded configuration.
 */
export function checkConfiguration(
  configuration: RoutingConfiguration,
): readonly ConfigurationFinding[] {
  const findings = [
    ...findRepeated("route", configuration.routes.map(({ name }) => name)),
    ...findRepeated("service", configuration.services.map(({ name }) => name)),
    ...configuration.routes.flatMap((route) =>
      checkRoute(route, configuration)
    ),
    ...checkReachedServices(configuration),
    ...checkLimits(configuration),
    ...checkWorkspaces(configuration),
  ];
  return findings.toSorted((a, b) =>
    Number(a.severity === "warning") - Number(b.severity === "warning")
  );
}

function findRepeated(
  kind: string,
  names: readonly string[],
): readonly ConfigurationFinding[] {
  const repeated = new Set(
    names.filter((name, index) => names.indexOf(name) !== index),
  );
  return [...repeated].map((name) =>
    createError(`${kind} "${name}"`, "the name stands more than once")
  );
}

function checkRoute(
  route: RouteStructure,
  configuration: RoutingConfiguration,
): readonly ConfigurationFinding[] {
  return [
    ...checkPrefix(route, configuration.routes),
    ...checkTargets(route, configuration),
    ...checkTimes(route),
  ];
}

function checkPrefix(
  route: RouteStructure,
  routes: readonly RouteStructure[],
): readonly ConfigurationFinding[] {
  const entry = formatRoute(route);
  const { pathPrefix } = route;
  if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
    return [
      createError(
        entry,
        `pathPrefix is "${pathPrefix}", expected one that begins and ends with a slash`,
      ),
    ];
  }
  const first = routes.find((other) =>
    other.pathPrefix === pathPrefix &&
    other.host.toLowerCase() === route.host.toLowerCase()
  );
  return first === undefined || first === route ? [] : [
    createError(
      entry,
      `never matches: ${
        formatRoute(first)
      } has the same host and pathPrefix "${pathPrefix}" and stands before it`,
    ),
  ];
}

function checkTargets(
  route: RouteStructure,
  { services }: RoutingConfiguration,
): readonly ConfigurationFinding[] {
  const entry = formatRoute(route);
  const known = new Map(services.map((service) => [service.name, service]));
  const missing = route.targets
    .filter(({ service }) => !known.has(service))
    .map(({ service }) =>
      createError(entry, `goes to service "${service}", which does not exist`)
    );
  const totalWeight = route.targets.reduce(
    (sum, { weight }) => sum + weight,
    0,
  );
  const unused = route.targets
    .filter(({ weight }) => weight === 0 && totalWeight > 0)
    .map(({ service }) =>
      createWarning(entry, `service "${service}" has weight 0 and gets nothing`)
    );
  const isUntrainable = route.kind === "rollout" &&
    !route.targets.some(({ service }) =>
      (known.get(service)?.models.length ?? 0) > 0
    );
  return [
    ...missing,
    ...unused,
    ...(totalWeight === 0
      ? [createError(entry, "the weights of its services add up to 0")]
      : []),
    ...(isUntrainable && missing.length === 0
      ? [createError(entry, "accepts lots, but its service has no models")]
      : []),
  ];
}

function checkTimes(route: RouteStructure): readonly ConfigurationFinding[] {
  const entry = formatRoute(route);
  const { objectiveMs, timeoutMs, dueMs, retentionMs, maxAttempts, kind } =
    route;
  const findings: ConfigurationFinding[] = [];
  if (timeoutMs === 0) {
    findings.push(createError(entry, "timeoutMs is 0, so nothing is served"));
  }
  if (maxAttempts === 0) {
    findings.push(createError(entry, "maxAttempts is 0, so nothing is sent"));
  }
  if (kind !== "rollout" && objectiveMs > timeoutMs) {
    findings.push(createError(
      entry,
      `the objective of ${objectiveMs} ms is longer than the timeout of ${timeoutMs} ms`,
    ));
  }
  if (kind === "rollout" && dueMs > retentionMs) {
    findings.push(createError(
      entry,
      `lots are due after ${dueMs} ms, but samples may be abandoned after ${retentionMs} ms`,
    ));
  }
  if (kind === "non-idempotent" && maxAttempts > 1) {
    findings.push(createWarning(
      entry,
      `maxAttempts is ${maxAttempts}, but a request that is not idempotent runs at most once`,
    ));
  }
  return findings;
}

function checkReachedServices(
  { routes, services }: RoutingConfiguration,
): readonly ConfigurationFinding[] {
  const reached = new Set(
    routes.flatMap(({ targets }) => targets.map(({ service }) => service)),
  );
  return services.flatMap(({ name, maxConnections }) => [
    ...(reached.has(name)
      ? []
      : [createWarning(`service "${name}"`, "no route goes to it")]),
    ...(maxConnections === 0
      ? [createError(`service "${name}"`, "allows no connection")]
      : []),
  ]);
}

function checkLimits(
  { limits }: RoutingConfiguration,
): readonly ConfigurationFinding[] {
  return Object.entries(limits)
    .filter(([, value]) => value === 0)
    .map(([key]) => createError("limits", `${key} is 0, so nothing is read`));
}

function formatRoute({ name }: RouteStructure): string {
  return `route "${name}"`;
}

function createError(entry: string, message: string): ConfigurationFinding {
  return { severity: "error", entry, message };
}

function createWarning(entry: string, message: string): ConfigurationFinding {
  return { severity: "warning", entry, message };
}
