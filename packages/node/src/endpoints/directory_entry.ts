/**
 * An entry of the endpoint directory, with the client of its endpoint.
 * @module
 */
import type { Engine } from "@briarhill/ports/engine/engine";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import type { Service } from "@briarhill/ports/service/service";
import type { EndpointClients } from "./endpoint_clients.ts";
import type { KnownEndpoint } from "./endpoint_directory.ts";
import type { EndpointPoller } from "./endpoint_poller.ts";

/**
 * An entry of the endpoint directory. Its client is created on first use,
 * because a host polls only a few of all engines.
 */
export class DirectoryEntry {
  known: KnownEndpoint;
  poller: EndpointPoller | undefined;
  #engine: Engine | undefined;
  #service: Service | undefined;

  constructor(listed: ListedEndpoint, leaving: boolean) {
    this.known = { listed, leaving, load: undefined, state: undefined };
  }

  /**
   * Returns the engine client; undefined if the endpoint is a service.
   *
   * @param clients - The factory of clients.
   */
  getEngine(clients: EndpointClients): Engine | undefined {
    const { listed } = this.known;
    if (listed.kind === "engine") {
      this.#engine ??= clients.createEngine(listed);
    }
    return this.#engine;
  }

  /**
   * Returns the service client; undefined if the endpoint is an engine.
   *
   * @param clients - The factory of clients.
   */
  getService(clients: EndpointClients): Service | undefined {
    const { listed } = this.known;
    if (listed.kind === "service") {
      this.#service ??= clients.createService(listed);
    }
    return this.#service;
  }
}
