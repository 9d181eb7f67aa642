/**
 * The configuration that the platform stand-in publishes.
 * @module
 */

/** The path of the health check of all endpoints. */
export const HEALTH_PATH = "/healthz";

/** The HTTP host name of the routes of {@link createConfiguration}. */
export const SERVICE_HOST = "app.example";

const RESUMABLE_STREAMS = {
  type: "streaming",
  resumable: true,
  timeoutMs: 10_000,
  service: "engines",
  maxAttempts: 2,
};

const SERVICES = [
  { name: "app", healthPath: HEALTH_PATH, maxConns: 100 },
  {
    name: "engines",
    healthPath: HEALTH_PATH,
    maxConns: 100,
    engine: { models: [{ name: "m0" }] },
  },
];

/** A workspace whose callers bring one of its keys. */
export interface ConfiguredWorkspace {
  readonly name: string;
  readonly apiKeys: readonly string[];
}

/**
 * Returns a configuration with one plain service and one service of engines.
 *
 * @example
 * ```ts
 * const { version } = createConfiguration(3);
 * ```
 * @param version - The version of the configuration.
 * @param workspaces - The workspaces; without any, requests need no key.
 */
export function createConfiguration(
  version: number,
  workspaces: readonly ConfiguredWorkspace[] = [],
) {
  const common = { host: SERVICE_HOST, sloMs: 200, priority: 1 };
  return {
    version,
    routes: [{
      ...common,
      name: "app",
      pathPrefix: "/app/",
      type: "idempotent",
      timeoutMs: 2_000,
      service: "app",
      maxAttempts: 2,
    }, {
      ...common,
      name: "streams",
      pathPrefix: "/streams/",
      ...RESUMABLE_STREAMS,
    }, {
      ...common,
      name: "rollout",
      pathPrefix: "/rollout/",
      type: "rollout",
      timeoutMs: 10_000,
      service: "engines",
      maxAttempts: 3,
      dueMs: 7_500,
      retentionS: 40,
    }],
    services: SERVICES,
    limits: {},
    ...(workspaces.length === 0 ? {} : { tenants: workspaces }),
  };
}
