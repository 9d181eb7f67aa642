/**
 * Looks up the route of a request.
 * @module
 */
import { WorkspaceTable } from "../workspaces/workspace_table.ts";
import type {
  RouteStructure,
  RoutingConfiguration,
  ServiceStructure,
} from "./route.ts";

/** The routes and services of one version of the configuration. */
export class RouteTable {
  readonly version: number;
  readonly configuration: RoutingConfiguration;
  readonly workspaces: WorkspaceTable;
  readonly #routes = new Map<string, RouteStructure[]>();
  readonly #services: ReadonlyMap<string, ServiceStructure>;

  constructor(configuration: RoutingConfiguration) {
    this.version = configuration.version;
    this.configuration = configuration;
    this.workspaces = new WorkspaceTable(configuration.workspaces);
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
   * route matches. It has the priority of the workspace, if that sets one.
   *
   * @param host - The value of the Host header; a port is ignored.
   * @param path - The path, with or without its query.
   * @param workspace - The name of the caller's workspace, if it has one.
   */
  findRoute(
    host: string,
    path: string,
    workspace = "",
  ): RouteStructure | undefined {
    const name = host.replace(/:\d+$/, "").toLowerCase();
    const route = this.#routes.get(name)?.find(({ pathPrefix }) =>
      path.startsWith(pathPrefix)
    );
    const priority = this.workspaces.getWorkspace(workspace)?.priority;
    return route === undefined || priority === undefined
      ? route
      : { ...route, priority };
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
