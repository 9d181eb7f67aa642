/**
 * Looks up the route of a request.
 * @module
 */
import type {
  RouteStructure,
  RoutingConfiguration,
  ServiceStructure,
} from "./route.ts";

/** The routes and services of one version of the configuration. */
export class RouteTable {
  readonly version: number;
  readonly configuration: RoutingConfiguration;
  readonly #routes = new Map<string, RouteStructure[]>();
  readonly #services: ReadonlyMap<string, ServiceStructure>;

  constructor(configuration: RoutingConfiguration) {
    this.version = configuration.version;
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#routes.get(host) ?? [];
      routes.push(route);
      this.#routes.set(host, routes);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
  }

  /**
   * Returns the route with the longest prefix of the path, or undefined if no
   * route matches.
   *
   * @param host - The value of the Host header; a port is ignored.
   * @param path - The path, with or without its query.
   */
  findRoute(host: string, path: string): RouteStructure | undefined {
    const name = host.replace(/:\d+$/, "").toLowerCase();
    return this.#routes.get(name)?.find(({ pathPrefix }) =>
      path.startsWith(pathPrefix)
    );
  }

  /**
   * Returns a service, or undefined if the configuration has none of that name.
   *
   * @param name - The service's name.
   */
  getService(name: string): ServiceStructure | undefined {
    return this.#services.get(name);
  }

  /** Returns the services that have models configured. */
  listEngineServices(): readonly ServiceStructure[] {
    return [...this.#services.values()].filter(({ models }) =>
      models.length > 0
    );
  }
}
